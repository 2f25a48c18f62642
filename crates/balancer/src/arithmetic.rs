//! Plain arithmetic of estimates: rates, token buckets and moving averages. Nothing here decides
//! anything.

use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::time::Duration;

/// The weight of one observation in a moving average: the last handful of observations decide.
pub const SMOOTHING: f64 = 1.0 / 8.0;

/// Moves an exponentially weighted average towards an observation of this weight.
pub fn smooth(average: &mut f64, observed: f64, weight: f64) {
    *average += (observed - *average) * weight;
}

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

/// A token bucket that is refilled at a rate and holds at most the tokens of one second.
pub struct TokenBucket {
    tokens_per_second: f64,
    tokens: f64,
    updated: Duration,
}

impl TokenBucket {
    /// An empty bucket.
    pub fn new(tokens_per_second: f64) -> Self {
        TokenBucket {
            tokens_per_second,
            tokens: 0.0,
            updated: Duration::ZERO,
        }
    }

    /// Takes a token if there is one.
    pub fn take(&mut self, now: Duration) -> bool {
        let refill = self.tokens_per_second * (now - self.updated).as_secs_f64();
        self.tokens = (self.tokens + refill).min(self.tokens_per_second.max(1.0));
        self.updated = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// The seeded source of all random draws.
pub struct Random(Pcg32);

impl Random {
    /// The same seed gives the same draws.
    pub fn new(seed: u64) -> Self {
        Random(Pcg32::seed_from_u64(seed))
    }

    /// A number from 0 up to, but not including, 1.
    pub fn unit(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / 2f64.powi(32)
    }
}
