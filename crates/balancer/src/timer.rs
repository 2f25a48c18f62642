//! Timers that a [`Balancer`](crate::Balancer) sets.

use crate::request::RequestId;

/// The purpose of a timer, which [`Event::Timer`](crate::Event::Timer) carries when it expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Timer {
    /// Decide on this request again: at its deadline, when a further attempt is due, or when its
    /// wait for health checks or an eligible endpoint is over.
    Request(RequestId),
    /// Check whether a call to discovery is due.
    EndpointPolling,
}
