//! The requests that a node has received and not finished. These types hold state and leave
//! decisions to their callers.

mod attempt;
mod pending_request;
mod queued_requests;
mod stage;

pub(crate) use attempt::Attempt;
pub(crate) use pending_request::PendingRequest;
pub(crate) use queued_requests::QueuedRequests;
pub(crate) use stage::RequestStage;
