//! The ring of ready endpoints. Each node uses the next ones from a place of its own, and the
//! places are evenly spaced, so that all endpoints have about equally many nodes (after
//! deterministic subsetting, Google SRE book, ch. 20).

use crate::{EndpointId, Settings};

/// The ready endpoints, in an order that is the same at all nodes.
pub(super) struct Ring {
    ids: Vec<EndpointId>,
    node_index: usize,
    node_count: usize,
}

impl Ring {
    /// Returns an empty ring, with this node's place on it.
    pub(super) fn new(settings: &Settings) -> Self {
        Ring {
            ids: Vec::new(),
            node_index: settings.node_index as usize,
            node_count: settings.node_count.max(1) as usize,
        }
    }

    /// Returns the number of endpoints on it.
    pub(super) fn len(&self) -> usize {
        self.ids.len()
    }

    /// Removes all endpoints.
    pub(super) fn clear(&mut self) {
        self.ids.clear();
    }

    /// Inserts an endpoint, unless it is there already.
    pub(super) fn insert(&mut self, id: EndpointId) {
        if let Err(index) = self.search(id) {
            self.ids.insert(index, id);
        }
    }

    /// Removes an endpoint, if it is there.
    pub(super) fn remove(&mut self, id: EndpointId) {
        if let Ok(index) = self.search(id) {
            self.ids.remove(index);
        }
    }

    /// Returns all endpoints, from this node's place on.
    pub(super) fn iter(&self) -> impl Iterator<Item = &EndpointId> {
        let start = self.node_index % self.node_count * self.ids.len() / self.node_count;
        let (before, after) = self.ids.split_at(start);
        after.iter().chain(before)
    }

    fn search(&self, id: EndpointId) -> Result<usize, usize> {
        self.ids
            .binary_search_by_key(&position(id), |other| position(*other))
    }
}

/// Returns the position of an endpoint, by Fibonacci hashing: neighbouring ids fall far apart.
fn position(id: EndpointId) -> u64 {
    const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
    id.0.wrapping_mul(GOLDEN_RATIO)
}
