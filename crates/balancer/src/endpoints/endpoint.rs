//! The state that a node keeps for one endpoint.

use super::health::Health;
use super::permit::Permit;
use super::reported_load::ReportedLoad;
use super::send_count::SendCount;
use crate::EndpointEntry;
use std::time::Duration;

/// A listed endpoint.
#[derive(Default)]
pub(crate) struct Endpoint {
    /// The entry in the endpoint list.
    pub entry: EndpointEntry,
    /// When the endpoint started, on this node's own clock; `None` if long ago.
    pub started: Option<Duration>,
    /// The number of this node's attempts in flight there.
    pub in_flight: u32,
    /// Whether a health check is in flight.
    pub check_in_flight: bool,
    /// The count of sends for Join-Up-To(m).
    pub sends: SendCount,
    /// The load that the endpoint reported last.
    pub reported_load: Option<ReportedLoad>,
    /// The failures and ejections of the endpoint.
    pub health: Health,
    /// The permit for a request while the endpoint starts.
    pub permit: Permit,
}

impl Endpoint {
    /// Returns an endpoint that has just been listed or has restarted, with the send count that it
    /// starts with.
    pub(crate) fn newly_listed(
        entry: EndpointEntry,
        started: Option<Duration>,
        send_count: u32,
        now: Duration,
    ) -> Self {
        Endpoint {
            entry,
            started,
            sends: SendCount::starting_at(send_count),
            permit: Permit::none(now),
            ..Endpoint::default()
        }
    }
}
