//! Further attempts at a request: how many there may be, and which of them clients start.

pub(crate) mod budget;
pub(crate) mod client_retry;
