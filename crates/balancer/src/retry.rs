//! Further attempts at a request: how many, what may run twice, and when the next one starts.

pub(crate) mod budget;
pub(crate) mod client_retry;
pub(crate) mod hedging;
pub(crate) mod idempotency;
