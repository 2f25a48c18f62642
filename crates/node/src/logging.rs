//! The log: lines for operators on standard error.
//!
//! A line has the form `what happened: subject: cause`. Logging never blocks the node: lines that
//! do not fit into the writer's queue are lost.

mod rate_limit;
mod writer;

pub(crate) use writer::flush;

use rate_limit::LineRateLimiter;
use std::cell::Cell;
use std::fmt::Display;
use std::time::Instant;

/// Logs a line about this node.
pub(crate) fn log(text: impl Display) {
    writer::write(text);
}

/// Logs a line about an event that clients or endpoints can cause any number of times. The number
/// of such lines per second is limited. A line states how many were suppressed before it.
pub(crate) fn log_rate_limited(text: impl Display) {
    match admit_line() {
        Some(0) => log(text),
        Some(suppressed) => log(format_args!(
            "{text} ({suppressed} messages about peers suppressed)"
        )),
        None => {}
    }
}

/// Returns the number of lines suppressed since the last admitted one, or `None` if this line is
/// suppressed too.
fn admit_line() -> Option<u64> {
    thread_local! {
        static LIMITER: Cell<LineRateLimiter> = const { Cell::new(LineRateLimiter::new()) };
    }
    let mut limiter = LIMITER.get();
    let admitted = limiter.admit(Instant::now());
    LIMITER.set(limiter);
    admitted
}
