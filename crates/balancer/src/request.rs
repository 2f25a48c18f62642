//! Requests as they arrive, and how attempts at them end.

use crate::endpoint::{EndpointId, LoadReport};
use std::time::Duration;

/// The identity of a request that this node has received. An id is never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A request as it arrives.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NewRequest {
    /// The id of the request.
    pub id: RequestId,
    /// The index of its class in [`Settings::classes`](crate::Settings::classes).
    pub class: usize,
    /// The index of its tenant in [`Settings::tenants`](crate::Settings::tenants).
    pub tenant: usize,
    /// A number for what the request concerns, such as a user or an object; 0 for nothing.
    /// No decision uses it.
    pub key: u64,
    /// How long the client still waits for this request.
    pub remaining: Duration,
    /// The processor time that it is expected to take on a standard core, where that is known.
    pub cost_hint: Option<Duration>,
    /// Whether the client marks it as a retry of an earlier request of its own.
    pub client_retry: bool,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint served the request.
    Served,
    /// The endpoint returned an error; the request may have run.
    Error,
    /// The endpoint rejected the request before it ran: its queue is full, or it drains.
    Rejected,
    /// No response came in time; the request may have run.
    TimedOut,
    /// No connection was established in time; the request never ran.
    ConnectFailed,
    /// The connection broke; the request may have run.
    Reset,
    /// This node cancelled the attempt; the request may have run.
    Cancelled,
    /// The attempt was never sent: the request had ended, its deadline had passed, or it had no
    /// attempts left.
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

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The id of the request.
    pub id: RequestId,
    /// The number of the attempt, in the order of sending, from 0.
    pub attempt: u32,
    /// The endpoint that it was sent to.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// The time from its start to its end.
    pub elapsed: Duration,
    /// Whether the request has its final response, or needs none any more; otherwise the node still
    /// owes it one.
    pub request_finished: bool,
    /// The endpoint's load report, if one came with it.
    pub report: Option<LoadReport>,
}
