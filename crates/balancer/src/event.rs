//! Events that a host passes to a [`Balancer`](crate::Balancer).

use crate::endpoint::{EndpointEntry, EndpointId, ListKind, LoadReport};
use crate::request::{AttemptEnd, NewRequest, Outcome, RequestId};
use crate::timer::Timer;
use std::time::Duration;

/// An event at this node.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list has been received, has changed, or could not be read.
    EndpointList {
        /// What the entries represent.
        kind: ListKind,
        /// The entries; empty if the list could not be read.
        entries: Vec<EndpointEntry>,
    },
    /// A request has arrived from a client. The balancer ends it with exactly one final response.
    Request(NewRequest),
    /// A streamed response has started. The request can no longer be retried.
    StreamStarted {
        /// The request.
        id: RequestId,
        /// The number of the attempt, in the order of sending, from 0.
        attempt: u32,
        /// The endpoint that the response comes from.
        endpoint: EndpointId,
    },
    /// An attempt has ended. The host reports the end of each attempt exactly once.
    AttemptEnded(AttemptEnd),
    /// The client has disconnected. Its request no longer needs a response.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// A timer that the balancer set has expired.
    Timer(Timer),
    /// A health check has ended.
    HealthCheckEnded(HealthCheckEnd),
}

/// The result of a health check.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthCheckEnd {
    /// The endpoint that was checked.
    pub endpoint: EndpointId,
    /// The outcome of the health check.
    pub outcome: Outcome,
    /// The time between its start and its end.
    pub elapsed: Duration,
    /// The endpoint's load report, if the response carried one.
    pub report: Option<LoadReport>,
}
