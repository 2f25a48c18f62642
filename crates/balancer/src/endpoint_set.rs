//! The listed endpoints and what each concern keeps about them. Nothing here decides anything.

use crate::health::endpoint_health::Health;
use crate::health::reported_load::ReportedLoad;
use crate::routing::permit::Permit;
use crate::routing::ring::Ring;
use crate::routing::send_count::SendCount;
use crate::routing::start_time::StartTimes;
use crate::{EndpointEntry, EndpointId, EndpointState, ListKind, Settings};
use std::collections::BTreeMap;
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

/// The listed endpoints, and the ring of those that are ready.
pub struct EndpointSet {
    by_id: BTreeMap<EndpointId, Endpoint>,
    ready: Ring,
    start_times: StartTimes,
    /// Whether any list has had endpoints: what appears after that was absent before.
    has_listed: bool,
}

impl EndpointSet {
    /// No endpoints yet.
    pub fn new(settings: &Settings) -> Self {
        EndpointSet {
            by_id: BTreeMap::new(),
            ready: Ring::new(settings),
            start_times: StartTimes::new(&settings.rules),
            has_listed: false,
        }
    }

    /// A listed endpoint.
    pub fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.by_id.get(&id)
    }

    /// A listed endpoint, to be changed.
    pub fn get_mut(&mut self, id: EndpointId) -> Option<&mut Endpoint> {
        self.by_id.get_mut(&id)
    }

    /// How many endpoints are listed.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// How many of them are ready.
    pub fn ready_count(&self) -> usize {
        self.ready.len()
    }

    /// The ready endpoints in the order of the ring, from this node's place on.
    pub fn ring(&self) -> impl Iterator<Item = &Endpoint> {
        self.ready.iter().filter_map(|id| self.by_id.get(id))
    }

    /// The mean send count of the next so many endpoints on the ring.
    pub fn mean_send_count(&self, endpoints: usize) -> u32 {
        let endpoints = endpoints.min(self.ready.len());
        let sends: u32 = self
            .ring()
            .take(endpoints)
            .map(|endpoint| endpoint.sends.since_idle())
            .sum();
        sends / endpoints.max(1) as u32
    }

    /// Takes in entries of the list. Endpoints that are new or have restarted get the send count
    /// `new_count`.
    pub fn apply(
        &mut self,
        kind: ListKind,
        entries: Vec<EndpointEntry>,
        new_count: u32,
        now: Duration,
    ) {
        let is_whole_list = kind != ListKind::Delta;
        let was_absent = self.has_listed;
        self.has_listed |= !entries.is_empty();
        if is_whole_list {
            self.by_id
                .values_mut()
                .for_each(|endpoint| endpoint.entry.state = EndpointState::Removed);
            self.ready.clear();
        }
        for entry in entries {
            self.apply_entry(entry, new_count, was_absent, now);
            match entry.state {
                EndpointState::Ready => self.ready.insert(entry.id),
                EndpointState::Draining | EndpointState::Removed => self.ready.remove(entry.id),
            }
        }
        if is_whole_list {
            self.by_id
                .retain(|_, endpoint| endpoint.entry.state != EndpointState::Removed);
        }
    }

    fn apply_entry(
        &mut self,
        entry: EndpointEntry,
        new_count: u32,
        was_absent: bool,
        now: Duration,
    ) {
        let known = self.by_id.remove(&entry.id).unwrap_or_default();
        if entry.state == EndpointState::Removed {
            return;
        }
        let unchanged = known.entry.id == entry.id && known.entry.started == entry.started;
        let endpoint = if unchanged {
            Endpoint { entry, ..known }
        } else {
            Endpoint {
                entry,
                started: self.start_times.of(&entry, was_absent, now),
                in_flight: known.in_flight,
                sends: SendCount::starting_at(new_count),
                permit: Permit::none(now),
                ..Endpoint::default()
            }
        };
        self.by_id.insert(entry.id, endpoint);
    }
}
