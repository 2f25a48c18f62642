//! Exponential backoff with jitter.

use crate::numeric::Random;
use std::time::Duration;

/// The waits between calls that fail: each one twice as long as the one before, within bounds.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    shortest: Duration,
    longest: Duration,
    /// The last wait before jitter; zero after a success.
    wait: Duration,
}

impl Backoff {
    /// Returns a backoff whose waits lie between `shortest` and `longest`, which must not be
    /// shorter.
    pub fn new(shortest: Duration, longest: Duration) -> Self {
        Backoff {
            shortest,
            longest,
            wait: Duration::ZERO,
        }
    }

    /// Begins anew with the shortest wait.
    pub fn reset(&mut self) {
        self.wait = Duration::ZERO;
    }

    /// Returns the next wait: between half and all of its length, so that nodes that failed
    /// together do not call together.
    pub fn next_wait(&mut self, random: &mut Random) -> Duration {
        self.wait = (2 * self.wait).clamp(self.shortest, self.longest);
        self.wait.mul_f64(0.5 + random.uniform() / 2.0)
    }
}

#[cfg(test)]
mod tests;
