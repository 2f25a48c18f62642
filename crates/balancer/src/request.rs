//! Requests as they arrive, and the outcomes of their attempts.

use crate::endpoint::{EndpointId, LoadReport};
use std::time::Duration;

/// Identifies a request that this node has received. Ids are never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A request that has just arrived.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NewRequest {
    /// The id of the request.
    pub id: RequestId,
    /// The index of its class in [`Settings::classes`](crate::Settings::classes).
    pub class: usize,
    /// The index of its tenant in [`Settings::tenants`](crate::Settings::tenants).
    pub tenant: usize,
    /// Identifies what the request concerns, such as a user or an object; 0 if there is nothing.
    /// No decision uses it.
    pub key: u64,
    /// How long the client still waits for the response.
    pub remaining: Duration,
    /// The CPU time that the request is expected to take on a standard core, if known.
    pub cost_hint: Option<Duration>,
    /// Whether the client marks the request as a retry of its own earlier request.
    pub client_retry: bool,
}

/// The outcome of an attempt or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint served the request.
    Served,
    /// The endpoint returned an error; the request may have run.
    Error,
    /// The endpoint rejected the request before running it, because its queue is full or because it
    /// drains.
    Rejected,
    /// No response arrived before the timeout; the request may have run.
    TimedOut,
    /// No connection was established before the timeout; the request never ran.
    ConnectFailed,
    /// The connection was closed or reset before the complete response; the request may have run.
    Reset,
    /// This node cancelled the attempt; the request may have run.
    Cancelled,
    /// The attempt was never sent, because the request had ended, its deadline had passed, or no
    /// attempts were left.
    NotSent,
}

impl Outcome {
    /// Returns whether this outcome proves that the request never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The id of the request.
    pub id: RequestId,
    /// The number of the attempt, in the order of sending, from 0.
    pub attempt: u32,
    /// The endpoint that it was sent to.
    pub endpoint: EndpointId,
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// The time between its start and its end.
    pub elapsed: Duration,
    /// Whether the request has had its final response or no longer needs one. Otherwise the node
    /// still has to send one.
    pub request_finished: bool,
    /// The endpoint's load report, if the response carried one.
    pub report: Option<LoadReport>,
}
