//! Cases in which an intake server sends more than an answer, or states a wrong length: does every client that is
//! served get the answer that was made for its request?

use crate::client::{Answer, Client};
use crate::server::{Seen, Server, Spoil};
use crate::site::{ANKARA, BOGOTA, Site};
use crate::world::{Dice, Node, Record, TempFolder, Verdict};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

#[derive(Clone, Copy, PartialEq)]
pub enum Kind {
    /// One of ten answers comes a second time some milliseconds late.
    LateCopy,
    /// One of ten answers to requests states a length below that of its body.
    ShortLength,
}

const CLIENTS: usize = 48;
const PLAYED: Duration = Duration::from_secs(60);
/// The share of the answers that are spoilt, or bring more than is theirs.
const SHARE: f64 = 0.1;

fn spoil(kind: Kind, is_probe: bool, dice: &Dice) -> Spoil {
    if dice.unit() >= SHARE {
        return Spoil::Nothing;
    }
    match kind {
        Kind::LateCopy if !is_probe => {
            Spoil::SecondCopy(Duration::from_secs_f64(dice.between(7.0, 9.0) / 1e3))
        }
        Kind::ShortLength if !is_probe => Spoil::ShortLength(1 + (dice.unit() * 12.0) as usize),
        _ => Spoil::Nothing,
    }
}

pub fn run(root: &Path, record: &Record, trouble: bool, kind: Kind) -> Verdict {
    let dice = Dice::from_environment(record);
    let seen = Arc::new(Seen::default());
    let Ok(folder) = TempFolder::create() else {
        return Verdict::CouldNotRun;
    };
    let site = if kind == Kind::LateCopy {
        &ANKARA
    } else {
        &BOGOTA
    };
    let servers: Vec<Server> = (0..site.servers)
        .map(|i| {
            let plan = move |is_probe: bool, dice: &Dice| {
                if trouble {
                    spoil(kind, is_probe, dice)
                } else {
                    Spoil::Nothing
                }
            };
            Server::start(&format!("s{i}"), record, &dice, &seen, site.model, plan)
        })
        .collect();
    let Some(mut nodes) = site.start_nodes(root, &folder.0, &dice, &servers, 192) else {
        record.say("a node was not ready within 10 s");
        return Verdict::CouldNotRun;
    };
    let counts = Arc::new(Counts::default());
    let end = Instant::now() + PLAYED;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let address = nodes[number % nodes.len()].listen;
            let (record, dice, seen, counts) =
                (record.clone(), dice.clone(), seen.clone(), counts.clone());
            spawn(move || {
                let mut client = Client::new(address);
                while Instant::now() < end {
                    let pause = -(1.0 - dice.unit()).ln() * CLIENTS as f64 / site.requests_per_s;
                    sleep(Duration::from_secs_f64(pause.min(5.0)));
                    one_call(site, &mut client, &record, &dice, &seen, &counts);
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let crashed = nodes.iter_mut().any(Node::has_ended);
    let total = counts.sent.load(Ordering::Relaxed);
    let served = counts.served.load(Ordering::Relaxed);
    let foreign = counts.foreign.lock().unwrap().clone();
    record.say(&format!(
        "{total} requests, {served} served, {} probes, {} attempts, {} second copies sent ({} withheld as something waited), {} answers with a short length",
        seen.probes.load(Ordering::Relaxed),
        seen.attempts.load(Ordering::Relaxed),
        seen.copies.load(Ordering::Relaxed),
        seen.copies_withheld.load(Ordering::Relaxed),
        seen.spoilt.load(Ordering::Relaxed),
    ));
    record.say(&format!(
        "{} clients were served with what no intake server made for their request",
        foreign.len()
    ));
    for line in foreign.iter().take(10) {
        record.say(line);
    }
    if crashed {
        record.say("a node has ended");
        return Verdict::Broken;
    }
    if served * 2 < total {
        record.say("fewer than half of the requests were served");
        return Verdict::CouldNotRun;
    }
    if foreign.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

#[derive(Default)]
struct Counts {
    sent: AtomicUsize,
    served: AtomicUsize,
    foreign: Mutex<Vec<String>>,
}

fn one_call(
    site: &Site,
    client: &mut Client,
    record: &Record,
    dice: &Dice,
    seen: &Seen,
    counts: &Counts,
) {
    counts.sent.fetch_add(1, Ordering::Relaxed);
    let (id, answer) = site.call(client, record, dice);
    let Answer::Whole(status, body) = answer else {
        return record.line(&format!("client of {id}: {answer:?}"));
    };
    let text = String::from_utf8_lossy(&body).into_owned();
    record.line(&format!("client of {id} got {status} {text}"));
    if status != 200 {
        return;
    }
    counts.served.fetch_add(1, Ordering::Relaxed);
    let made = seen.made.lock().unwrap();
    let is_own = made.get(&id).is_some_and(|made| made.contains(&body));
    if !is_own {
        let line = format!(
            "FOREIGN: the client of {id} was served with \"{text}\"; made for it: {:?}",
            made.get(&id).map(|all| all
                .iter()
                .map(|b| String::from_utf8_lossy(b).into_owned())
                .collect::<Vec<_>>())
        );
        record.line(&line);
        counts.foreign.lock().unwrap().push(line);
    }
}
