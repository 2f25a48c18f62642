//! A case in which some answers never end: does a node stay within its limit on memory?

use crate::client::{Answer, Client};
use crate::server::{Seen, Server, Spoil};
use crate::site::ANKARA;
use crate::world::{Dice, Record, TempFolder, Verdict, unix_ms};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const CLIENTS: usize = 96;
const PLAYED: Duration = Duration::from_secs(45);
/// The limit on the memory of a node.
const MEMORY_MB: usize = 32;
/// The share of the answers that are spoilt, and never end.
const SHARE: f64 = 0.1;
/// How often a few bytes more of such an answer come.
const EVERY: Duration = Duration::from_millis(1);

pub fn run(root: &Path, record: &Record, trouble: bool) -> Verdict {
    let dice = Dice::new(unix_ms());
    let seen = Arc::new(Seen::default());
    let Ok(folder) = TempFolder::create() else {
        return Verdict::CouldNotRun;
    };
    let servers: Vec<Server> = (0..ANKARA.servers)
        .map(|i| {
            let plan = move |is_probe: bool, dice: &Dice| {
                if trouble && !is_probe && dice.unit() < SHARE {
                    Spoil::NeverEnds(EVERY)
                } else {
                    Spoil::Nothing
                }
            };
            Server::start(&format!("s{i}"), record, &dice, &seen, ANKARA.model, plan)
        })
        .collect();
    let Some(mut nodes) = ANKARA.start_nodes(root, &folder.0, &dice, &servers, MEMORY_MB) else {
        record.say("a node was not ready within 10 s");
        return Verdict::CouldNotRun;
    };
    let (sent, served, broken) = (
        Arc::new(AtomicUsize::new(0)),
        Arc::new(AtomicUsize::new(0)),
        Arc::new(AtomicUsize::new(0)),
    );
    let end = Instant::now() + PLAYED;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let address = nodes[number % nodes.len()].listen;
            let (record, dice, sent, served, broken) = (
                record.clone(),
                dice.clone(),
                sent.clone(),
                served.clone(),
                broken.clone(),
            );
            spawn(move || {
                let mut client = Client::new(address);
                while Instant::now() < end {
                    let pause = -(1.0 - dice.unit()).ln() * CLIENTS as f64 / ANKARA.requests_per_s;
                    sleep(Duration::from_secs_f64(pause.min(5.0)));
                    sent.fetch_add(1, Ordering::Relaxed);
                    let (id, answer) = ANKARA.call(&mut client, &record, &dice);
                    match answer {
                        Answer::Whole(status, _) => {
                            served.fetch_add(usize::from(status == 200), Ordering::Relaxed);
                            record.line(&format!("client of {id} got {status}"));
                        }
                        Answer::NotSent => {
                            record.line(&format!("client of {id} could not reach the node"))
                        }
                        other => {
                            broken.fetch_add(1, Ordering::Relaxed);
                            record.line(&format!("client of {id} got no answer: {other:?}"));
                        }
                    }
                }
            })
        })
        .collect();
    let mut most = vec![0.0f64; nodes.len()];
    let mut killed = Vec::new();
    while Instant::now() < end {
        sleep(Duration::from_millis(20));
        for (i, node) in nodes.iter_mut().enumerate() {
            let Some(now) = node.anonymous_memory_mb() else {
                continue;
            };
            if now > most[i] + 1.0 {
                record.line(&format!("{} uses {now:.1} MB", node.name));
                most[i] = now;
            }
            if now > MEMORY_MB as f64 && !killed.contains(&i) {
                record.say(&format!(
                    "{} uses {now:.1} MB, over its limit of {MEMORY_MB} MB: the platform kills it",
                    node.name
                ));
                node.kill();
                killed.push(i);
            }
        }
    }
    for client in clients {
        let _ = client.join();
    }
    let (sent, served) = (sent.load(Ordering::Relaxed), served.load(Ordering::Relaxed));
    record.say(&format!(
        "{sent} requests, {served} served, {} got no answer; {} answers that never end; most memory of each node: {most:.1?} MB (anonymous pages alone), limit {MEMORY_MB} MB",
        broken.load(Ordering::Relaxed),
        seen.spoilt.load(Ordering::Relaxed),
    ));
    record.say(&format!(
        "{} of {} nodes were killed for memory",
        killed.len(),
        nodes.len()
    ));
    let crashed = nodes.iter_mut().any(|node| node.has_ended());
    if crashed || !killed.is_empty() {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
