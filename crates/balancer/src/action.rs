//! What a [`Balancer`](crate::Balancer) tells its host to do.

use crate::endpoint::EndpointId;
use crate::request::RequestId;
use crate::timer::Timer;
use std::time::Duration;

/// Something the host is to do. Actions are carried out in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    StartAttempt {
        /// The request.
        id: RequestId,
        /// The endpoint to send it to.
        endpoint: EndpointId,
        /// How long to wait for its response.
        timeout: Duration,
    },
    /// Final answer: shed. The client may safely retry.
    Shed {
        /// The request.
        id: RequestId,
        /// How long the client should wait before it tries again.
        retry_after: Option<Duration>,
    },
    /// Final answer: failed. The request may have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// Set a timer: an [`Event::Timer`](crate::Event::Timer) arrives when it expires.
    SetTimer {
        /// When, from now.
        after: Duration,
        /// What it is for.
        timer: Timer,
    },
    /// Send a health check to an endpoint.
    HealthCheck {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Subscribe to changes of the endpoint list, or end the subscription.
    Subscribe {
        /// On or off.
        enabled: bool,
    },
}
