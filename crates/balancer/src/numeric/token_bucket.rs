//! Token buckets.

use std::time::Duration;

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
