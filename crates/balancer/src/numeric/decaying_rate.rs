//! Rates that are forgotten exponentially.

use super::moving_average::SMOOTHING;
use std::time::Duration;

/// The amount per second of something, forgotten exponentially over a window in seconds.
pub struct DecayingRate {
    window: f64,
    sum: f64,
    updated: Duration,
}

impl DecayingRate {
    /// Nothing yet, over a window in seconds.
    pub fn new(window: f64) -> Self {
        DecayingRate {
            window,
            sum: 0.0,
            updated: Duration::ZERO,
        }
    }

    /// Counts an amount.
    pub fn add(&mut self, now: Duration, amount: f64) {
        self.sum = self.per_second(now) * self.window + amount;
        self.updated = now;
    }

    /// The rate at this time.
    pub fn per_second(&self, now: Duration) -> f64 {
        let age = (now - self.updated).as_secs_f64();
        self.sum * (-age / self.window).exp() / self.window
    }

    /// The rate of what began only at `start`, when the window has seen but a part of its time.
    pub fn per_second_since(&self, start: Duration, now: Duration) -> f64 {
        let age = (now - start).as_secs_f64() / self.window;
        self.per_second(now) / (1.0 - (-age).exp()).max(SMOOTHING)
    }
}
