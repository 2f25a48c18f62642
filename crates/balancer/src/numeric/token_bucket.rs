//! Token buckets.

/// A bucket of tokens with a maximum capacity.
pub(crate) struct TokenBucket {
    tokens: f64,
    capacity: f64,
}

impl TokenBucket {
    /// Returns a bucket that holds this many tokens.
    pub(crate) fn new(tokens: f64, capacity: f64) -> Self {
        TokenBucket { tokens, capacity }
    }

    /// Adds tokens, up to the capacity.
    pub(crate) fn refill(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.capacity);
    }

    /// Returns whether the bucket holds at least this many tokens.
    pub(crate) fn has(&self, tokens: f64) -> bool {
        self.tokens >= tokens
    }

    /// Takes a token, even if fewer than one is left; the balance may become negative.
    pub(crate) fn take(&mut self) {
        self.tokens -= 1.0;
    }

    /// Takes a token if at least one is left, and returns whether it did.
    pub(crate) fn try_take(&mut self) -> bool {
        let has_token = self.has(1.0);
        if has_token {
            self.take();
        }
        has_token
    }
}
