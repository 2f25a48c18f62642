//! Token buckets.

/// A number of tokens up to a capacity. Each use of what it limits takes a token.
pub(crate) struct TokenBucket {
    tokens: f64,
    capacity: f64,
}

impl TokenBucket {
    /// Returns a bucket with so many tokens in it.
    pub(crate) fn new(tokens: f64, capacity: f64) -> Self {
        TokenBucket { tokens, capacity }
    }

    /// Adds tokens, up to the capacity.
    pub(crate) fn refill(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.capacity);
    }

    /// Returns whether it has so many tokens.
    pub(crate) fn has(&self, tokens: f64) -> bool {
        self.tokens >= tokens
    }

    /// Takes a token, whether or not there is a whole one.
    pub(crate) fn take(&mut self) {
        self.tokens -= 1.0;
    }

    /// Takes a token and returns true if there is a whole one.
    pub(crate) fn try_take(&mut self) -> bool {
        let has_token = self.has(1.0);
        if has_token {
            self.take();
        }
        has_token
    }
}
