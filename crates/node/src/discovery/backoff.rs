//! The waits between calls to discovery that fail.

use ottertiller_balancer::{Backoff, Random};
use std::time::Duration;

/// The first wait after a call that succeeded, unless the longest is shorter.
const FIRST_WAIT: Duration = Duration::from_millis(100);
/// The least that the longest wait may be.
const MIN_LONGEST_WAIT: Duration = Duration::from_millis(50);
/// The most that the longest wait may be.
const MAX_LONGEST_WAIT: Duration = Duration::from_secs(1);

/// Returns the longest wait for this grace of a drain.
///
/// Once discovery is back, what it has to say of drains counts as known at once: a node that has
/// stopped calling for longer than the grace, or waits for a connection that is never established,
/// learns it too late.
pub(super) fn longest_wait(drain_grace: Duration) -> Duration {
    (drain_grace / 4).clamp(MIN_LONGEST_WAIT, MAX_LONGEST_WAIT)
}

/// Exponential backoff with jitter, which begins anew after a call that has lasted.
pub(super) struct ReconnectBackoff {
    backoff: Backoff,
    random: Random,
}

impl ReconnectBackoff {
    /// Returns a backoff with waits of at most `longest`, and jitter from `seed`.
    pub(super) fn new(longest: Duration, seed: u64) -> Self {
        ReconnectBackoff {
            backoff: Backoff::new(FIRST_WAIT.min(longest), longest),
            random: Random::new(seed),
        }
    }

    /// Begins anew with the shortest wait.
    pub(super) fn reset(&mut self) {
        self.backoff.reset();
    }

    /// Returns the wait after a call that failed after `lasted`.
    ///
    /// A call that took longer than [`MAX_LONGEST_WAIT`], whether as a watch or as a time-out, is
    /// followed at once: it cannot make calls frequent, and its watch may have ended in place of a
    /// change.
    pub(super) fn next_wait(&mut self, lasted: Duration) -> Duration {
        if lasted > MAX_LONGEST_WAIT {
            self.reset();
            return Duration::ZERO;
        }
        self.backoff.next_wait(&mut self.random)
    }
}

#[cfg(test)]
mod tests;
