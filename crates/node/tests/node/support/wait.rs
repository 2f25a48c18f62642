//! Waiting for what no event reports.

use std::thread::sleep;
use std::time::{Duration, Instant};

/// The longest time that a test waits for an event.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// The time between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Longer than the time after a response in which a connection may not be reused yet.
const REUSE_DELAY: Duration = Duration::from_millis(30);

/// Waits until a condition holds. Panics if it does not within [`TEST_TIMEOUT`]; `what` names it
/// then.
pub fn wait_until(mut holds: impl FnMut() -> bool, what: &str) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "waited in vain for {what}");
        sleep(POLL_INTERVAL);
    }
}

/// Waits until a connection that has carried a response may be reused.
pub fn wait_for_idle_connection() {
    sleep(REUSE_DELAY);
}
