//! Further attempts at a request: how many there may be, which requests may run twice, and when the
//! next attempt starts. Retries by clients: how long a client has waited when its retry arrives.

pub(crate) mod budget;
pub(crate) mod client_retry;
pub(crate) mod hedging;
pub(crate) mod idempotency;
