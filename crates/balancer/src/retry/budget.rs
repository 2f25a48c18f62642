//! The retry budget: limits further attempts to a fixed share of requests, so that retries cannot
//! multiply an overload (Google SRE book, "Handling Overload", per-client retry budget).

use crate::numeric::TokenBucket;

/// The tokens that each request adds. One further attempt takes one token.
const TOKENS_PER_REQUEST: f64 = 0.4;
/// The tokens that a node starts with, before requests have added any: 2.5.
const INITIAL_TOKENS: f64 = 1.0 / TOKENS_PER_REQUEST;
/// The maximum number of tokens: 5. The limit keeps a quiet period from accumulating a burst of
/// retries.
const MAX_TOKENS: f64 = 2.0 / TOKENS_PER_REQUEST;

/// The budget of a node for retries and hedged requests.
pub(crate) struct RetryBudget {
    tokens: TokenBucket,
}

impl RetryBudget {
    /// Returns the budget of a node that has just started.
    pub(crate) fn new() -> Self {
        RetryBudget {
            tokens: TokenBucket::new(INITIAL_TOKENS, MAX_TOKENS),
        }
    }

    /// Adds the tokens of a request that has arrived.
    pub(crate) fn deposit(&mut self) {
        self.tokens.refill(TOKENS_PER_REQUEST);
    }

    /// Returns whether a further attempt may start.
    pub(crate) fn allows_retry(&self) -> bool {
        self.tokens.has(1.0)
    }

    /// Returns whether a further attempt could follow the one that is about to start, which itself
    /// takes a token if it is a retry.
    pub(crate) fn allows_retry_after(&self, attempt_is_retry: bool) -> bool {
        self.tokens.has(if attempt_is_retry { 2.0 } else { 1.0 })
    }

    /// Takes the token of a further attempt that has started.
    pub(crate) fn withdraw(&mut self) {
        self.tokens.take();
    }
}
