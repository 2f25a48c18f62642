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
    /// Its entry in the endpoint list.
    pub entry: EndpointEntry,
    /// When the endpoint started, on this node's clock; `None` if that was long ago.
    pub started: Option<Duration>,
    /// The number of this node's attempts in flight at the endpoint.
    pub in_flight: u32,
    /// Whether a health check is in flight.
    pub check_in_flight: bool,
    /// The number of sends that Join-Up-To(m) counts.
    pub sends: SendCount,
    /// The load that the endpoint last reported.
    pub reported_load: Option<ReportedLoad>,
    /// Its failure rate and its ejections.
    pub health: Health,
    /// Its permit for one request, needed during slow start.
    pub permit: Permit,
}

impl Endpoint {
    /// Returns the state of an endpoint that is new to the list or has restarted. `send_count` is
    /// its initial send count.
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
