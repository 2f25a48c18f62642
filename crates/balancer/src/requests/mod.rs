//! The requests that a node has received and not finished. Nothing here decides anything.

mod attempt;
mod pending_request;
mod queued_requests;
mod stage;

pub use attempt::Attempt;
pub use pending_request::PendingRequest;
pub use queued_requests::QueuedRequests;
pub use stage::RequestStage;
