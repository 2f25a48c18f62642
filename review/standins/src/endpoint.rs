//! An endpoint (intake server): one core, a queue, and a load report at /stats.

use crate::http::{Message, read_message};
use crate::random::Random;
use crate::record::Record;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// How long requests wait in the queue at most, in requests.
const MAX_QUEUE: usize = 8;

/// The second copies that an endpoint sends.
#[derive(Clone, Copy)]
pub struct Copies {
    /// The share of answers that are followed by a second copy.
    pub share: f64,
    /// The copy follows after a time between these bounds, in ms.
    pub after_ms: (f64, f64),
}

pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    state: Arc<State>,
}

struct State {
    name: String,
    work_ms: (f64, f64),
    copies: Option<Copies>,
    record: Arc<Record>,
    core: Mutex<Random>,
    in_flight: AtomicUsize,
    queued: AtomicUsize,
    served: AtomicU64,
    probes: AtomicU64,
    copies_sent: AtomicU64,
    copies_withheld: AtomicU64,
}

impl Endpoint {
    pub fn start(
        name: &str,
        seed: u64,
        work_ms: (f64, f64),
        copies: Option<Copies>,
        record: Arc<Record>,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(State {
            name: name.to_string(),
            work_ms,
            copies,
            record,
            core: Mutex::new(Random::new(seed)),
            in_flight: AtomicUsize::new(0),
            queued: AtomicUsize::new(0),
            served: AtomicU64::new(0),
            probes: AtomicU64::new(0),
            copies_sent: AtomicU64::new(0),
            copies_withheld: AtomicU64::new(0),
        });
        let shared = state.clone();
        spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let state = shared.clone();
                spawn(move || state.serve(stream, seed.wrapping_mul(7919).wrapping_add(number as u64)));
            }
        });
        Endpoint { name: name.to_string(), address, state }
    }

    /// Returns the numbers of requests run, probes answered, copies sent and copies not sent
    /// because something else was waiting.
    pub fn counts(&self) -> [u64; 4] {
        let state = &self.state;
        [&state.served, &state.probes, &state.copies_sent, &state.copies_withheld]
            .map(|count| count.load(Ordering::SeqCst))
    }
}

impl State {
    fn serve(&self, mut stream: TcpStream, seed: u64) {
        let _ = stream.set_nodelay(true);
        let mut random = Random::new(seed);
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let answer = self.answer(&request);
            if stream.write_all(&answer).is_err() {
                return;
            }
            if let Some(copies) = self.copies.filter(|copies| random.uniform() < copies.share) {
                let after = random.between(copies.after_ms.0, copies.after_ms.1);
                sleep(Duration::from_secs_f64(after / 1000.0));
                self.send_copy(&mut stream, &reader, &request, &answer, after);
            }
        }
    }

    /// Sends the answer a second time, if nothing else is waiting on the connection.
    fn send_copy(
        &self,
        stream: &mut TcpStream,
        reader: &BufReader<TcpStream>,
        request: &Message,
        answer: &[u8],
        after_ms: f64,
    ) {
        let _ = stream.set_nonblocking(true);
        let waiting = !reader.buffer().is_empty()
            || !stream.peek(&mut [0]).is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
        let written = !waiting && matches!(stream.write(answer), Ok(n) if n == answer.len());
        let _ = stream.set_nonblocking(false);
        if !written {
            self.copies_withheld.fetch_add(1, Ordering::SeqCst);
            return;
        }
        self.copies_sent.fetch_add(1, Ordering::SeqCst);
        self.record.line(format_args!(
            "{} sends a second copy of its answer to {} {}, {after_ms:.2} ms after the first, nothing waiting",
            self.name,
            request.path(),
            request.call_id(),
        ));
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let path = request.path();
        if path == "/stats" {
            self.probes.fetch_add(1, Ordering::SeqCst);
            let (held, waiting) = (self.in_flight.load(Ordering::SeqCst), self.queued.load(Ordering::SeqCst));
            let util = if held > 0 { "1.00" } else { "0.00" };
            return response("200 OK", "", &format!("inflight={held},queue={waiting},util={util}"));
        }
        if path == "/health/live" {
            return response("200 OK", "", "");
        }
        let id = request.call_id();
        if self.queued.load(Ordering::SeqCst) >= MAX_QUEUE {
            self.record.line(format_args!("{} turns away {id}", self.name));
            return response("503 Full", "X-Rejected: 1\r\n", "");
        }
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        self.queued.fetch_add(1, Ordering::SeqCst);
        let mut core = self.core.lock().expect("the core should not be poisoned");
        self.queued.fetch_sub(1, Ordering::SeqCst);
        sleep(Duration::from_secs_f64(core.between(self.work_ms.0, self.work_ms.1) / 1000.0));
        drop(core);
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
        self.served.fetch_add(1, Ordering::SeqCst);
        self.record.line(format_args!(
            "{} has run {id} (X-Budget-Ms {})",
            self.name,
            request.header("x-budget-ms").unwrap_or("-")
        ));
        response("200 OK", "", &made_for(id, &self.name))
    }
}

/// Returns the body that an endpoint makes for a request.
fn made_for(id: &str, endpoint: &str) -> String {
    format!("made for {id} by {endpoint}")
}

/// Returns whether a body was made for a request.
pub fn is_made_for(body: &[u8], id: &str) -> bool {
    body.starts_with(format!("made for {id} by ").as_bytes())
}

fn response(status: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}
