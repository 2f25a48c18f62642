//! An intake server: it runs as many requests at a time as it has slots, and keeps the others waiting.

use crate::http::{Message, read_message};
use crate::world::{Dice, Record};
use std::collections::HashMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// What an intake server does with an answer that it has made.
#[derive(Clone, Copy)]
pub enum Spoil {
    Nothing,
    /// Sends the answer a second time, this long after the first, if nothing else waits.
    SecondCopy(Duration),
    /// States a Content-Length that is this much below the length of the body.
    ShortLength(usize),
}

/// What happened at the intake servers of a case.
#[derive(Default)]
pub struct Seen {
    /// The answers made, by the id of the request.
    pub made: Mutex<HashMap<String, Vec<Vec<u8>>>>,
    pub copies: AtomicUsize,
    pub copies_withheld: AtomicUsize,
    pub spoilt: AtomicUsize,
    pub probes: AtomicUsize,
    pub attempts: AtomicUsize,
    /// When the clients of these requests closed, in milliseconds of the record.
    pub gone: Mutex<HashMap<String, f64>>,
    /// The attempts that came too late after that.
    pub late: Mutex<Vec<String>>,
}

/// An attempt counts as late this long after its client has closed: 0.1 s, the 50 ms that every limit is longer on
/// sockets, and 50 ms in which a busy machine may delay this server.
const AFTER_CLOSE_MS: f64 = 200.0;

pub struct Server {
    pub name: String,
    pub address: SocketAddr,
}

/// What an intake server can do.
#[derive(Clone, Copy)]
pub struct Model {
    pub slots: usize,
    /// The work of a request, in milliseconds.
    pub work_ms: (f64, f64),
    /// The path of a class with other work, exponentially distributed, and its mean in milliseconds.
    pub long_work: Option<(&'static str, f64)>,
    /// Whether every answer carries a load report.
    pub reports_in_answers: bool,
}

type Plan = Box<dyn Fn(bool, &Dice) -> Spoil + Send + Sync>;

struct Inner {
    name: String,
    /// How many more requests may run now.
    slots: (Mutex<usize>, Condvar),
    slot_count: usize,
    held: AtomicUsize,
    running: AtomicUsize,
    record: Record,
    dice: Arc<Dice>,
    seen: Arc<Seen>,
    /// The work of a request, in milliseconds.
    work_ms: (f64, f64),
    long_work: Option<(&'static str, f64)>,
    reports_in_answers: bool,
    /// How an answer is spoilt; the first argument is true for the answer to a probe.
    plan: Plan,
}

impl Server {
    pub fn start(
        name: &str,
        record: &Record,
        dice: &Arc<Dice>,
        seen: &Arc<Seen>,
        model: Model,
        plan: impl Fn(bool, &Dice) -> Spoil + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for an intake server");
        let address = listener.local_addr().expect("its address");
        let inner = Arc::new(Inner {
            name: name.to_owned(),
            slots: (Mutex::new(model.slots), Condvar::new()),
            slot_count: model.slots,
            held: AtomicUsize::new(0),
            running: AtomicUsize::new(0),
            record: record.clone(),
            dice: dice.clone(),
            seen: seen.clone(),
            work_ms: model.work_ms,
            long_work: model.long_work,
            reports_in_answers: model.reports_in_answers,
            plan: Box::new(plan),
        });
        let server = Server {
            name: name.to_owned(),
            address,
        };
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let inner = inner.clone();
                spawn(move || {
                    let _ = inner.serve(stream);
                });
            }
        });
        server
    }
}

/// The most requests that wait.
const QUEUE: usize = 8;

impl Inner {
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        while let Some(request) = read_message(&mut reader)? {
            let (is_probe, answer) = self.answer(&request);
            let Some(answer) = answer else {
                writer.write_all(b"HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            };
            let spoil = (self.plan)(is_probe, &self.dice);
            let stated = match spoil {
                Spoil::ShortLength(less) => answer.len().saturating_sub(less),
                _ => answer.len(),
            };
            let mut head = format!("HTTP/1.1 200 OK\r\nContent-Length: {stated}\r\n");
            if self.reports_in_answers {
                let waiting = self
                    .held
                    .load(Ordering::SeqCst)
                    .saturating_sub(self.slot_count);
                let mean_ms = (self.work_ms.0 + self.work_ms.1) / 2.0;
                head += &format!("X-Load-Report: queue={waiting},latency_ms={mean_ms:.1}\r\n");
            }
            let mut bytes = (head + "\r\n").into_bytes();
            bytes.extend_from_slice(&answer);
            if let Spoil::ShortLength(_) = spoil {
                self.seen.spoilt.fetch_add(1, Ordering::Relaxed);
                self.record.line(&format!(
                    "{} answers {} with {} bytes and Content-Length {stated}",
                    self.name,
                    id_of(&request),
                    answer.len()
                ));
            }
            writer.write_all(&bytes)?;
            if let Spoil::SecondCopy(after) = spoil {
                sleep(after);
                self.second_copy(&mut writer, &reader, &request, &bytes)?;
            }
        }
        Ok(())
    }

    /// Sends an answer once more, unless something else waits on the connection.
    fn second_copy(
        &self,
        writer: &mut TcpStream,
        reader: &BufReader<TcpStream>,
        request: &Message,
        bytes: &[u8],
    ) -> io::Result<()> {
        writer.set_nonblocking(true)?;
        let peeked = writer.peek(&mut [0]);
        writer.set_nonblocking(false)?;
        let nothing_waits =
            matches!(&peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        if !nothing_waits || !reader.buffer().is_empty() {
            self.seen.copies_withheld.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        writer.write_all(bytes)?;
        self.seen.copies.fetch_add(1, Ordering::Relaxed);
        self.record.line(&format!(
            "{} sent a second copy of its answer to {}",
            self.name,
            id_of(request)
        ));
        Ok(())
    }

    /// Records an attempt that begins after its client has gone.
    fn check_client(&self, request: &Message) {
        let now = self.record.now_ms();
        let id = id_of(request);
        let closed = self.seen.gone.lock().unwrap().get(&id).copied();
        if let Some(closed) = closed.filter(|closed| now > closed + AFTER_CLOSE_MS) {
            let line = format!(
                "LATE: {} got {id} {:.0} ms after its client had closed",
                self.name,
                now - closed
            );
            self.record.line(&line);
            self.seen.late.lock().unwrap().push(line);
        }
    }

    /// The work of a request, in milliseconds.
    fn work_ms(&self, request: &Message) -> f64 {
        match self.long_work {
            Some((path, mean)) if request.word(1) == path => {
                (-(1.0 - self.dice.unit()).ln() * mean).min(800.0)
            }
            _ => self.dice.between(self.work_ms.0, self.work_ms.1),
        }
    }

    /// Returns whether the request is a probe, and the body of the answer; no body if the queue is full.
    fn answer(&self, request: &Message) -> (bool, Option<Vec<u8>>) {
        if request.word(1) == "/stats" {
            self.seen.probes.fetch_add(1, Ordering::Relaxed);
            let held = self.held.load(Ordering::SeqCst);
            let running = self.running.load(Ordering::SeqCst);
            let report = format!(
                "inflight={held},queue={},util={:.2}",
                held.saturating_sub(running),
                running as f64 / self.slot_count as f64
            );
            return (true, Some(report.into_bytes()));
        }
        self.seen.attempts.fetch_add(1, Ordering::Relaxed);
        self.check_client(request);
        if self.held.fetch_add(1, Ordering::SeqCst) >= self.slot_count + QUEUE {
            self.held.fetch_sub(1, Ordering::SeqCst);
            return (false, None);
        }
        {
            let mut free = self.slots.0.lock().unwrap();
            while *free == 0 {
                free = self.slots.1.wait(free).unwrap();
            }
            *free -= 1;
            drop(free);
            self.running.fetch_add(1, Ordering::SeqCst);
            sleep(Duration::from_secs_f64(self.work_ms(request) / 1e3));
            self.running.fetch_sub(1, Ordering::SeqCst);
            *self.slots.0.lock().unwrap() += 1;
            self.slots.1.notify_one();
        }
        self.held.fetch_sub(1, Ordering::SeqCst);
        let id = id_of(request);
        let body = format!(
            "answer to {id} by {} run {:016x}",
            self.name,
            self.dice.bits()
        )
        .into_bytes();
        self.record.line(&format!("{} ran {id}", self.name));
        self.seen
            .made
            .lock()
            .unwrap()
            .entry(id)
            .or_default()
            .push(body.clone());
        (false, Some(body))
    }
}

fn id_of(request: &Message) -> String {
    request.header("x-call-id").unwrap_or("a probe").to_owned()
}

/// Forwards connections to `to`, and delays what goes either way.
pub fn delay_proxy(to: SocketAddr, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a proxy");
    let address = listener.local_addr().expect("its address");
    spawn(move || {
        for stream in listener.incoming().flatten() {
            spawn(move || {
                let Ok(other) = TcpStream::connect(to) else {
                    return;
                };
                let (Ok(a), Ok(b)) = (stream.try_clone(), other.try_clone()) else {
                    return;
                };
                let up = spawn(move || pump(stream, other, delay));
                pump(b, a, delay);
                let _ = up.join();
            });
        }
    });
    address
}

fn pump(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let _ = to.set_nodelay(true);
    let mut buffer = [0; 16384];
    loop {
        match io::Read::read(&mut from, &mut buffer) {
            Ok(count) if count > 0 => {
                sleep(delay);
                if to.write_all(&buffer[..count]).is_err() {
                    break;
                }
            }
            _ => break,
        }
    }
    sleep(delay);
    let _ = to.shutdown(std::net::Shutdown::Write);
    let _ = from.shutdown(std::net::Shutdown::Read);
}
