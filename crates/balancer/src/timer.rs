//! The timers of a [`Balancer`](crate::Balancer).

use crate::request::RequestId;

/// What a timer is for. It comes back with [`Event::Timer`](crate::Event::Timer) when it expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Timer {
    /// A decision on this request: its deadline, its next attempt, or the end of its wait.
    Request(RequestId),
    /// The next look at the schedule of calls to discovery.
    EndpointPolling,
}
