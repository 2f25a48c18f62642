//! Actions that a [`Balancer`](crate::Balancer) requests from its host.

use crate::endpoint::EndpointId;
use crate::request::RequestId;
use crate::timer::Timer;
use std::time::Duration;

/// An action for the host to execute. The host executes actions in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    StartAttempt {
        /// The request.
        id: RequestId,
        /// The endpoint to send it to.
        endpoint: EndpointId,
        /// The time after which the attempt times out.
        timeout: Duration,
    },
    /// Send the final response that the request is shed. The client may safely retry it.
    Shed {
        /// The request.
        id: RequestId,
        /// How long the client should wait before it tries again.
        retry_after: Option<Duration>,
    },
    /// Send the final response that the request has failed. An endpoint may have run it.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Cancel an attempt. The host still reports its end.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// The number of the attempt, in the order of sending, from 0.
        attempt: u32,
    },
    /// Set a timer. The host delivers an [`Event::Timer`](crate::Event::Timer) when it expires.
    SetTimer {
        /// The time until it expires.
        after: Duration,
        /// The timer that the event carries.
        timer: Timer,
    },
    /// Send a health check to an endpoint.
    HealthCheck {
        /// The endpoint to check.
        endpoint: EndpointId,
    },
    /// Subscribe to changes of the endpoint list, or unsubscribe.
    Subscribe {
        /// `true` to subscribe, `false` to unsubscribe.
        enabled: bool,
    },
}
