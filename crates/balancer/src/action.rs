//! The actions that a [`Balancer`](crate::Balancer) asks of its host.

use crate::endpoint::EndpointId;
use crate::request::RequestId;
use crate::timer::Timer;
use std::time::Duration;

/// An action for the host to take. Actions are taken in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    StartAttempt {
        /// The request.
        id: RequestId,
        /// The endpoint to send it to.
        endpoint: EndpointId,
        /// How long to wait for the response.
        timeout: Duration,
    },
    /// Give the final response: the request is shed, and the client may safely retry it.
    Shed {
        /// The request.
        id: RequestId,
        /// How long the client should wait before it tries again.
        retry_after: Option<Duration>,
    },
    /// Give the final response: the request has failed, and may have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Cancel an attempt: its end is still reported.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// The number of the attempt, in the order of sending, from 0.
        attempt: u32,
    },
    /// Set a timer: an [`Event::Timer`](crate::Event::Timer) arrives when it expires.
    SetTimer {
        /// The time until it expires.
        after: Duration,
        /// What it is for.
        timer: Timer,
    },
    /// Send a health check to an endpoint.
    HealthCheck {
        /// The endpoint to check.
        endpoint: EndpointId,
    },
    /// Subscribe to changes of the endpoint list, or end the subscription.
    Subscribe {
        /// Whether to subscribe or to end the subscription.
        enabled: bool,
    },
}
