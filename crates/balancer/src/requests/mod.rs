//! The requests that a node has received and not finished. Nothing here decides anything.

mod pending_request;
mod queued_requests;

pub use pending_request::{Attempt, PendingRequest};
pub use queued_requests::HeldRequests;
