//! Exponential backoff with jitter.

use crate::numeric::Random;
use std::time::Duration;

/// The waits between failed calls: each is twice as long as the one before, within bounds.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    shortest: Duration,
    longest: Duration,
    /// The last wait before jitter; zero after a success.
    wait: Duration,
}

impl Backoff {
    /// Returns a backoff whose waits before jitter grow from `shortest` to `longest`. `longest`
    /// must not be less than `shortest`.
    pub fn new(shortest: Duration, longest: Duration) -> Self {
        Backoff {
            shortest,
            longest,
            wait: Duration::ZERO,
        }
    }

    /// Starts again with the shortest wait, after a success.
    pub fn reset(&mut self) {
        self.wait = Duration::ZERO;
    }

    /// Returns the next wait, with jitter: between half and all of its length, so that nodes that
    /// failed together do not call together.
    pub fn next_wait(&mut self, random: &mut Random) -> Duration {
        self.wait = (2 * self.wait).clamp(self.shortest, self.longest);
        self.wait.mul_f64(0.5 + random.uniform() / 2.0)
    }
}

#[cfg(test)]
mod tests;
