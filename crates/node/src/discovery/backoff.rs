//! The pauses between calls to discovery that fail.

use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::time::Duration;

const MIN_PAUSE: Duration = Duration::from_millis(50);
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// The longest pause for this grace of a drain. Once discovery is back, what it has to say of
/// drains counts as known at once: a node that has stopped calling for longer than the grace, or
/// waits for a connection that is never established, learns it too late.
pub fn max_pause(drain_grace: Duration) -> Duration {
    (drain_grace / 4).clamp(MIN_PAUSE, MAX_PAUSE)
}

/// Exponential backoff with jitter.
pub struct Backoff {
    pause: Duration,
    max_pause: Duration,
    random: Pcg32,
}

impl Backoff {
    /// Pauses of at most `max_pause`, with jitter from `seed`.
    pub fn new(max_pause: Duration, seed: u64) -> Self {
        Backoff {
            pause: MIN_PAUSE,
            max_pause,
            random: Pcg32::seed_from_u64(seed),
        }
    }

    /// Begins anew with the shortest pause.
    pub fn reset(&mut self) {
        self.pause = MIN_PAUSE;
    }

    /// The pause after a call that has failed after so long. One that lasted was a success first:
    /// its watch may have ended in place of a change, so that the next call follows at once.
    pub fn next_pause(&mut self, lasted: Duration) -> Duration {
        if lasted > MAX_PAUSE {
            self.reset();
            return Duration::ZERO;
        }
        self.pause = (self.pause * 2).min(self.max_pause);
        self.jittered_pause()
    }

    /// Between half and all of the pause, so that nodes whose watches broke together do not call
    /// together.
    fn jittered_pause(&mut self) -> Duration {
        let fraction = f64::from(self.random.next_u32()) / 2f64.powi(32);
        self.pause.mul_f64(0.5 + fraction / 2.0)
    }
}

#[cfg(test)]
mod tests;
