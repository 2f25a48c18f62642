//! A case in which clients send much at once and go: does an attempt begin after its client has closed?

use crate::client::{Answer, Client};
use crate::server::{Seen, Server, Spoil};
use crate::site::ANKARA;
use crate::world::{Dice, Node, Record, TempFolder, Verdict};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const CLIENTS: usize = 48;
const PLAYED: Duration = Duration::from_secs(45);
/// How often a client comes to each node that sends much at once and goes.
const EVERY: Duration = Duration::from_millis(1000);
/// How many requests it sends at once.
const AT_ONCE: usize = 400;

pub fn run(root: &Path, record: &Record, trouble: bool) -> Verdict {
    let dice = Dice::from_environment(record);
    let seen = Arc::new(Seen::default());
    let Ok(folder) = TempFolder::create() else {
        return Verdict::CouldNotRun;
    };
    let servers: Vec<Server> = (0..ANKARA.servers)
        .map(|i| {
            Server::start(
                &format!("s{i}"),
                record,
                &dice,
                &seen,
                ANKARA.model,
                |_, _| Spoil::Nothing,
            )
        })
        .collect();
    let Some(mut nodes) = ANKARA.start_nodes(root, &folder.0, &dice, &servers, 192) else {
        record.say("a node was not ready within 10 s");
        return Verdict::CouldNotRun;
    };
    let (sent, served, came) = (
        Arc::new(AtomicUsize::new(0)),
        Arc::new(AtomicUsize::new(0)),
        Arc::new(AtomicUsize::new(0)),
    );
    let end = Instant::now() + PLAYED;
    let mut threads = Vec::new();
    for number in 0..CLIENTS {
        let address = nodes[number % nodes.len()].listen;
        let (record, dice, sent, served) =
            (record.clone(), dice.clone(), sent.clone(), served.clone());
        threads.push(spawn(move || {
            let mut client = Client::new(address);
            while Instant::now() < end {
                let pause = -(1.0 - dice.unit()).ln() * CLIENTS as f64 / ANKARA.requests_per_s;
                sleep(Duration::from_secs_f64(pause.min(5.0)));
                sent.fetch_add(1, Ordering::Relaxed);
                let (id, answer) = ANKARA.call(&mut client, &record, &dice);
                if let Answer::Whole(status, _) = answer {
                    served.fetch_add(usize::from(status == 200), Ordering::Relaxed);
                    record.line(&format!("client of {id} got {status}"));
                } else {
                    record.line(&format!("client of {id}: {answer:?}"));
                }
            }
        }));
    }
    if trouble {
        for node in &nodes {
            let address = node.listen;
            let (record, dice, seen, came) =
                (record.clone(), dice.clone(), seen.clone(), came.clone());
            threads.push(spawn(move || {
                while Instant::now() + Duration::from_secs(2) < end {
                    sleep(EVERY);
                    if send_much_and_go(address, &record, &dice, &seen).is_some() {
                        came.fetch_add(1, Ordering::Relaxed);
                    }
                }
            }));
        }
    }
    for thread in threads {
        let _ = thread.join();
    }
    sleep(Duration::from_secs(1));
    let late = seen.late.lock().unwrap().clone();
    let (sent, served) = (sent.load(Ordering::Relaxed), served.load(Ordering::Relaxed));
    record.say(&format!(
        "{sent} usual requests, {served} served; {} clients sent {AT_ONCE} requests at once and went; {} attempts in all",
        came.load(Ordering::Relaxed),
        seen.attempts.load(Ordering::Relaxed),
    ));
    record.say(&format!(
        "{} attempts came to a server more than 200 ms after their client had closed",
        late.len()
    ));
    for line in late.iter().take(10) {
        record.say(line);
    }
    if nodes.iter_mut().any(Node::has_ended) {
        record.say("a node has ended");
        return Verdict::Broken;
    }
    if served * 2 < sent {
        record.say("fewer than half of the usual requests were served");
        return Verdict::CouldNotRun;
    }
    if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

/// Sends many requests at once on a new connection, and closes it as soon as they are written.
fn send_much_and_go(address: SocketAddr, record: &Record, dice: &Dice, seen: &Seen) -> Option<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    let ids: Vec<String> = (0..AT_ONCE)
        .map(|_| format!("{:016x}", dice.bits()))
        .collect();
    let mut bytes = Vec::new();
    for id in &ids {
        let key = dice.bits();
        bytes.extend_from_slice(
            format!(
                "POST /hizala HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: {id}\r\nX-Budget-Ms: 4000\r\n\
                 Idempotency-Key: {key:016x}{key:016x}\r\nContent-Length: 2000\r\n\r\n{}",
                "x".repeat(2000)
            )
            .as_bytes(),
        );
    }
    stream.write_all(&bytes).ok()?;
    drop(stream);
    let closed = record.now_ms();
    let mut gone = seen.gone.lock().unwrap();
    for id in &ids {
        gone.insert(id.clone(), closed);
    }
    record.line(&format!(
        "a client has sent {} bytes, {} to {}, and closed",
        bytes.len(),
        ids[0],
        ids[AT_ONCE - 1]
    ));
    Some(())
}
