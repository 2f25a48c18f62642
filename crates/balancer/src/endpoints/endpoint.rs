//! The state that a node keeps for one endpoint.

use super::health::Health;
use super::permit::Permit;
use super::reported_load::ReportedLoad;
use super::send_count::SendCount;
use crate::EndpointEntry;
use std::time::Duration;

/// A listed endpoint.
#[derive(Default)]
pub struct Endpoint {
    /// Its entry in the endpoint list.
    pub entry: EndpointEntry,
    /// When it started, on this node's own clock; `None` if long ago.
    pub started: Option<Duration>,
    /// This node's attempts in flight.
    pub in_flight: u32,
    /// Whether a health check is in flight.
    pub check_in_flight: bool,
    /// Its count for Join-Up-To(m).
    pub sends: SendCount,
    /// The load that it reported last.
    pub reported_load: Option<ReportedLoad>,
    /// Its failures and ejections.
    pub health: Health,
    /// Its permit for a request while it starts.
    pub permit: Permit,
}

impl Endpoint {
    /// An endpoint that has just been listed or has restarted, with the send count that it starts
    /// with.
    pub fn newly_listed(
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
