//! Exponentially decaying rates.

use super::moving_average::SMOOTHING;
use super::seconds::Seconds;
use std::time::Duration;

/// The smallest fraction of the window from which a rate is extrapolated.
const MIN_OBSERVED_FRACTION: f64 = SMOOTHING;

/// The rate of an amount per second. Past amounts decay exponentially, with the window as the time
/// constant.
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

    /// Adds an amount.
    pub(crate) fn add(&mut self, now: Duration, amount: f64) {
        self.sum = self.per_second(now) * self.window.as_f64() + amount;
        self.updated = now;
    }

    /// Returns the rate at `now`.
    pub(crate) fn per_second(&self, now: Duration) -> f64 {
        let age = Seconds::from(now - self.updated);
        self.sum * (-(age / self.window)).exp() / self.window.as_f64()
    }

    /// Returns the rate of a process that began at `start`, corrected for a window that it has not
    /// filled yet.
    pub(crate) fn per_second_since(&self, start: Duration, now: Duration) -> f64 {
        let windows = Seconds::from(now - start) / self.window;
        self.per_second(now) / (1.0 - (-windows).exp()).max(MIN_OBSERVED_FRACTION)
    }
}
