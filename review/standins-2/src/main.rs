//! Stand-ins for clients, intake servers, discovery and the network, and the cases of the review that use them.
//!
//! `standins CASE ROOT RECORD` plays a case. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run. With `TROUBLE=0` in the environment it leaves out the disruption.

mod client;
mod discovery;
mod foreign;
mod gone;
mod http;
mod server;
mod settings;
mod site;
mod world;

use std::path::{Path, PathBuf};
use std::time::Duration;
use world::{Record, Verdict};

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, record] = arguments.as_slice() else {
        eprintln!("usage: standins CASE ROOT RECORD");
        std::process::exit(Verdict::CouldNotRun as i32);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let root = PathBuf::from(root);
    let Ok(record) = Record::create(Path::new(record)) else {
        eprintln!("the record cannot be written");
        std::process::exit(Verdict::CouldNotRun as i32);
    };
    record.say(&format!("case {case}, disruption: {trouble}"));
    world::start_watchdog();
    let verdict = match case.as_str() {
        "late-copy" => foreign::run(&root, &record, trouble, foreign::Kind::LateCopy),
        "short-length" => foreign::run(&root, &record, trouble, foreign::Kind::ShortLength),
        "gone" => gone::run(&root, &record, trouble),
        _ => Verdict::CouldNotRun,
    };
    record.say(match verdict {
        Verdict::Held => "HELD: the rule held",
        Verdict::Broken => "BROKEN: the rule was broken",
        Verdict::CouldNotRun => "the case could not run",
    });
    std::thread::sleep(Duration::from_millis(10));
    std::process::exit(verdict as i32);
}
