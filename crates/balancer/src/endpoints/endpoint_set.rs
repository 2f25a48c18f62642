//! The listed endpoints and what each concern keeps about them. Nothing here decides anything.

use super::endpoint::Endpoint;
use super::ring::Ring;
use crate::{EndpointEntry, EndpointId, EndpointState, ListKind, Settings};
use std::collections::BTreeMap;

/// The listed endpoints, and the ring of those that are ready.
pub(crate) struct EndpointSet {
    by_id: BTreeMap<EndpointId, Endpoint>,
    ready: Ring,
    /// Whether any list so far has had endpoints.
    has_ever_listed_endpoints: bool,
}

impl EndpointSet {
    /// Returns an empty set.
    pub(crate) fn new(settings: &Settings) -> Self {
        EndpointSet {
            by_id: BTreeMap::new(),
            ready: Ring::new(settings),
            has_ever_listed_endpoints: false,
        }
    }

    /// Returns a listed endpoint.
    pub(crate) fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.by_id.get(&id)
    }

    /// Returns a listed endpoint, to be changed.
    pub(crate) fn get_mut(&mut self, id: EndpointId) -> Option<&mut Endpoint> {
        self.by_id.get_mut(&id)
    }

    /// Returns the number of listed endpoints.
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns the number of listed endpoints that are ready.
    pub(crate) fn ready_count(&self) -> usize {
        self.ready.len()
    }

    /// Returns the ready endpoints in the order of the ring, from this node's place on.
    pub(crate) fn ring(&self) -> impl Iterator<Item = &Endpoint> {
        self.ready.iter().filter_map(|id| self.by_id.get(id))
    }

    /// Returns the mean send count of the next so many endpoints on the ring.
    pub(crate) fn mean_send_count(&self, endpoints: usize) -> u32 {
        let endpoints = endpoints.min(self.ready.len());
        let sends: u32 = self
            .ring()
            .take(endpoints)
            .map(|endpoint| endpoint.sends.since_idle())
            .sum();
        sends / endpoints.max(1) as u32
    }

    /// Returns whether any list so far has had endpoints. What appears after that was not listed
    /// before.
    pub(crate) fn has_ever_listed_endpoints(&self) -> bool {
        self.has_ever_listed_endpoints
    }

    /// Applies entries of the list. `new_endpoint` returns the state of an endpoint that is new or
    /// has restarted.
    pub(crate) fn apply(
        &mut self,
        kind: ListKind,
        entries: Vec<EndpointEntry>,
        new_endpoint: impl Fn(&EndpointEntry) -> Endpoint,
    ) {
        let is_whole_list = kind != ListKind::Delta;
        self.has_ever_listed_endpoints |= !entries.is_empty();
        if is_whole_list {
            self.by_id
                .values_mut()
                .for_each(|endpoint| endpoint.entry.state = EndpointState::Removed);
            self.ready.clear();
        }
        for entry in entries {
            self.apply_entry(entry, &new_endpoint);
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
        new_endpoint: impl Fn(&EndpointEntry) -> Endpoint,
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
                in_flight: known.in_flight,
                ..new_endpoint(&entry)
            }
        };
        self.by_id.insert(entry.id, endpoint);
    }
}
