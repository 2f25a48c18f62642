//! The waits after failed calls to discovery.

use ottertiller_balancer::{Backoff, Random};
use std::time::Duration;

/// The first wait after a reset, unless the maximum wait is shorter.
const INITIAL_WAIT: Duration = Duration::from_millis(100);
/// The lower bound of the maximum wait.
const MAX_WAIT_LOWER_BOUND: Duration = Duration::from_millis(50);
/// The upper bound of the maximum wait.
const MAX_WAIT_UPPER_BOUND: Duration = Duration::from_secs(1);

/// Returns the maximum wait for a drain grace.
///
/// As soon as discovery is reachable again, the node is expected to know of the drains that
/// discovery lists. If the node made no call for longer than the drain grace, or spent that time on
/// a connection that is never established, it would learn of a drain too late.
pub(super) fn max_wait(drain_grace: Duration) -> Duration {
    (drain_grace / 4).clamp(MAX_WAIT_LOWER_BOUND, MAX_WAIT_UPPER_BOUND)
}

/// Exponential backoff with jitter, which is reset after a call that lasted long.
pub(super) struct ReconnectBackoff {
    backoff: Backoff,
    random: Random,
}

impl ReconnectBackoff {
    /// Creates a backoff with waits of at most `max_wait`, whose jitter is seeded with `seed`.
    pub(super) fn new(max_wait: Duration, seed: u64) -> Self {
        ReconnectBackoff {
            backoff: Backoff::new(INITIAL_WAIT.min(max_wait), max_wait),
            random: Random::new(seed),
        }
    }

    /// Makes the next wait the initial one.
    pub(super) fn reset(&mut self) {
        self.backoff.reset();
    }

    /// Returns the wait after a call that failed after `call_duration`.
    ///
    /// There is no wait after a call that took longer than [`MAX_WAIT_UPPER_BOUND`], whether it was
    /// an open watch or timed out: such calls cannot become frequent, and discovery may end a watch
    /// instead of sending a change on it, so the change must be fetched at once.
    pub(super) fn next_wait(&mut self, call_duration: Duration) -> Duration {
        if call_duration > MAX_WAIT_UPPER_BOUND {
            self.reset();
            return Duration::ZERO;
        }
        self.backoff.next_wait(&mut self.random)
    }
}

#[cfg(test)]
mod tests;
