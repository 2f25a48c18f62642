//! Further attempts at a request: how many, what may run twice, and when the next one starts.

pub mod budget;
pub mod client_retry;
pub mod hedging;
pub mod idempotency;
