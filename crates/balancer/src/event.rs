//! What a [`Balancer`](crate::Balancer) is told.

use crate::endpoint::{EndpointEntry, EndpointId, ListKind, LoadReport};
use crate::request::{AttemptEnd, NewRequest, Outcome, RequestId};
use crate::timer::Timer;
use std::time::Duration;

/// Something that has happened at this node.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A change of the endpoint list, or a failure to read it.
    EndpointList {
        /// What the entries are.
        kind: ListKind,
        /// The entries.
        entries: Vec<EndpointEntry>,
    },
    /// A client's request has arrived. The node owes it one final answer.
    Request(NewRequest),
    /// A streamed response has started; it can no longer be retried.
    StreamStarted {
        /// The request.
        id: RequestId,
        /// The number of the attempt, in the order of sending.
        attempt: u32,
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// An attempt has ended. Each attempt has exactly one such event.
    AttemptEnded(AttemptEnd),
    /// The client has disconnected; it needs no answer any more.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// A timer set by this node has expired.
    Timer(Timer),
    /// A health check has ended.
    HealthCheckEnded(HealthCheckEnd),
}

/// How a health check ended.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthCheckEnd {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// The time since it was sent.
    pub elapsed: Duration,
    /// The endpoint's load report, if one came with it.
    pub report: Option<LoadReport>,
}
