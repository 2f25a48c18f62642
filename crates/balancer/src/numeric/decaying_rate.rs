//! Rates that are forgotten exponentially.

use super::moving_average::SMOOTHING;
use super::seconds::Seconds;
use std::time::Duration;

/// The least part of the window that a rate is scaled up from.
const MIN_OBSERVED_PART: f64 = SMOOTHING;

/// The amount per second of something, forgotten exponentially over a window.
pub(crate) struct DecayingRate {
    window: Seconds,
    sum: f64,
    updated: Duration,
}

impl DecayingRate {
    /// Returns a rate of zero.
    pub(crate) fn new(window: Seconds) -> Self {
        DecayingRate {
            window,
            sum: 0.0,
            updated: Duration::ZERO,
        }
    }

    /// Counts an amount.
    pub(crate) fn add(&mut self, now: Duration, amount: f64) {
        self.sum = self.per_second(now) * self.window.as_f64() + amount;
        self.updated = now;
    }

    /// Returns the rate at this time.
    pub(crate) fn per_second(&self, now: Duration) -> f64 {
        let age = Seconds::from(now - self.updated);
        self.sum * (-(age / self.window)).exp() / self.window.as_f64()
    }

    /// Returns the rate of what began at `start`, of which the window may have seen only a part.
    pub(crate) fn per_second_since(&self, start: Duration, now: Duration) -> f64 {
        let windows = Seconds::from(now - start) / self.window;
        self.per_second(now) / (1.0 - (-windows).exp()).max(MIN_OBSERVED_PART)
    }
}
