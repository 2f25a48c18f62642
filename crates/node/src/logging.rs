//! The log: lines for operators on standard error.
//!
//! A line reads `what happened: subject: cause`. Lines that do not fit into the writer's queue are
//! lost: the log never blocks the node.

mod rate_limit;
mod writer;

pub(crate) use writer::flush;

use rate_limit::PeerLineLimit;
use std::cell::Cell;
use std::fmt::Display;
use std::time::Instant;

/// Logs a line about this node.
pub(crate) fn log(text: impl Display) {
    writer::write(text);
}

/// Logs a line about something that peers can cause as often as they like. Their number is limited;
/// a line says how many were suppressed before it.
pub(crate) fn log_peer(text: impl Display) {
    match admit_peer_line() {
        Some(0) => log(text),
        Some(suppressed) => log(format_args!(
            "{text} ({suppressed} messages about peers suppressed)"
        )),
        None => {}
    }
}

/// Admits a line about a peer, with the number of those suppressed since the last; `None` if this
/// one is suppressed.
fn admit_peer_line() -> Option<u64> {
    thread_local! {
        static LIMIT: Cell<PeerLineLimit> = const { Cell::new(PeerLineLimit::new()) };
    }
    let mut limit = LIMIT.get();
    let admitted = limit.admit(Instant::now());
    LIMIT.set(limit);
    admitted
}
