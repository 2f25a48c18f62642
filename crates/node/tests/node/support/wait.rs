//! Waits for conditions that no event reports.

use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long a test waits for an event or a condition before it fails.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// The interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Longer than the time after a response during which the node does not reuse a connection.
const REUSE_DELAY: Duration = Duration::from_millis(30);

/// Waits until `holds` returns `true`. Panics if that takes longer than [`TEST_TIMEOUT`];
/// `condition` describes the condition in the message.
pub(crate) fn wait_until(mut holds: impl FnMut() -> bool, condition: &str) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "timed out waiting for {condition}");
        sleep(POLL_INTERVAL);
    }
}

/// Waits until a connection that has carried a response may be reused.
pub(crate) fn wait_for_connection_reuse() {
    sleep(REUSE_DELAY);
}
