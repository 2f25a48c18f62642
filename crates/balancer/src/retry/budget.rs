//! The retry budget: further attempts stay a fixed share of requests, so that retries cannot
//! multiply an overload (Google SRE book, "Handling Overload", per-client retry budget).

/// Tokens that each request adds: further attempts as a share of requests.
const TOKENS_PER_REQUEST: f64 = 0.4;
/// What a node that has just started may spend before requests have paid for it.
const INITIAL_TOKENS: f64 = 1.0 / TOKENS_PER_REQUEST;
/// A quiet time is not saved up for a burst of retries.
const MAX_TOKENS: f64 = 2.0 / TOKENS_PER_REQUEST;

/// The tokens left for retries and hedged requests.
pub struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// The budget of a node that has just started.
    pub fn new() -> Self {
        RetryBudget {
            tokens: INITIAL_TOKENS,
        }
    }

    /// A request has arrived.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Whether a further attempt may start.
    pub fn allows_retry(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Whether one more attempt could follow the one that is about to start.
    pub fn allows_retry_after(&self, attempt_is_retry: bool) -> bool {
        let needed = if attempt_is_retry { 2.0 } else { 1.0 };
        self.tokens >= needed
    }

    /// A further attempt has started.
    pub fn withdraw(&mut self) {
        self.tokens -= 1.0;
    }
}
