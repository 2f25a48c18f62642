//! The events that a host passes to a [`Balancer`](crate::Balancer).

use crate::endpoint::{EndpointEntry, EndpointId, ListKind, LoadReport};
use crate::request::{AttemptEnd, NewRequest, Outcome, RequestId};
use crate::timer::Timer;
use std::time::Duration;

/// An event at this node.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A change of the endpoint list, or a failure to read it.
    EndpointList {
        /// Whether the entries are the whole list or changes to it.
        kind: ListKind,
        /// The entries of the list; empty if reading it has failed.
        entries: Vec<EndpointEntry>,
    },
    /// A client's request has arrived. The node owes it one final response.
    Request(NewRequest),
    /// A streamed response has started; it can no longer be retried.
    StreamStarted {
        /// The request.
        id: RequestId,
        /// The number of the attempt, in the order of sending, from 0.
        attempt: u32,
        /// The endpoint that the response comes from.
        endpoint: EndpointId,
    },
    /// An attempt has ended. Each attempt has exactly one such event.
    AttemptEnded(AttemptEnd),
    /// The client has disconnected; its request needs no response any more.
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
    /// The endpoint that was checked.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// The time from the start of the health check to its end.
    pub elapsed: Duration,
    /// The endpoint's load report, if one came with it.
    pub report: Option<LoadReport>,
}
