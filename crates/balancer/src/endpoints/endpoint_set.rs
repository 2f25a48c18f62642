//! The set of listed endpoints.

use super::endpoint::Endpoint;
use super::ring::Ring;
use crate::{EndpointEntry, EndpointId, EndpointState, ListKind, Settings};
use std::collections::BTreeMap;

/// The listed endpoints, and the ring of those that are ready.
pub(crate) struct EndpointSet {
    by_id: BTreeMap<EndpointId, Endpoint>,
    ready: Ring,
    /// Whether any endpoint list so far contained endpoints.
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

    /// Returns a mutable reference to a listed endpoint.
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

    /// Returns the ready endpoints in ring order, starting at this node's position.
    pub(crate) fn ring(&self) -> impl Iterator<Item = &Endpoint> {
        self.ready.iter().filter_map(|id| self.by_id.get(id))
    }

    /// Returns the mean send count of the first `endpoint_count` endpoints of [`ring`](Self::ring).
    pub(crate) fn mean_send_count(&self, endpoint_count: usize) -> u32 {
        let endpoint_count = endpoint_count.min(self.ready.len());
        let sends: u32 = self
            .ring()
            .take(endpoint_count)
            .map(|endpoint| endpoint.sends.since_idle())
            .sum();
        sends / endpoint_count.max(1) as u32
    }

    /// Returns whether any endpoint list so far contained endpoints. If so, an endpoint that is not
    /// in the set now is new to the list.
    pub(crate) fn has_ever_listed_endpoints(&self) -> bool {
        self.has_ever_listed_endpoints
    }

    /// Applies the entries of an endpoint list. `new_endpoint` returns the initial state of an
    /// endpoint that is new or has restarted.
    pub(crate) fn apply(
        &mut self,
        kind: ListKind,
        entries: Vec<EndpointEntry>,
        new_endpoint: impl Fn(&EndpointEntry) -> Endpoint,
    ) {
        let is_complete_list = kind != ListKind::Delta;
        self.has_ever_listed_endpoints |= !entries.is_empty();
        if is_complete_list {
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
        if is_complete_list {
            self.by_id
                .retain(|_, endpoint| endpoint.entry.state != EndpointState::Removed);
        }
    }

    fn apply_entry(
        &mut self,
        entry: EndpointEntry,
        new_endpoint: impl Fn(&EndpointEntry) -> Endpoint,
    ) {
        let previous = self.by_id.remove(&entry.id).unwrap_or_default();
        if entry.state == EndpointState::Removed {
            return;
        }
        let is_same_run = previous.entry.id == entry.id && previous.entry.started == entry.started;
        let endpoint = if is_same_run {
            Endpoint { entry, ..previous }
        } else {
            Endpoint {
                in_flight: previous.in_flight,
                ..new_endpoint(&entry)
            }
        };
        self.by_id.insert(entry.id, endpoint);
    }
}
