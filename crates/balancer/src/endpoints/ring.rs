//! The ring of ready endpoints. Each node uses the endpoints that follow its own position on the
//! ring. The positions of the nodes are evenly spaced, so that all endpoints are used by about the
//! same number of nodes (compare deterministic subsetting, Google SRE book, ch. 20).

use crate::{EndpointId, Settings};

/// The ready endpoints, in an order that is the same on all nodes.
pub(super) struct Ring {
    ids: Vec<EndpointId>,
    node_index: usize,
    node_count: usize,
}

impl Ring {
    /// Returns an empty ring for this node's index among all nodes.
    pub(super) fn new(settings: &Settings) -> Self {
        Ring {
            ids: Vec::new(),
            node_index: settings.node_index as usize,
            node_count: settings.node_count.max(1) as usize,
        }
    }

    /// Returns the number of endpoints on the ring.
    pub(super) fn len(&self) -> usize {
        self.ids.len()
    }

    /// Removes all endpoints.
    pub(super) fn clear(&mut self) {
        self.ids.clear();
    }

    /// Inserts an endpoint, unless it is already on the ring.
    pub(super) fn insert(&mut self, id: EndpointId) {
        if let Err(index) = self.search(id) {
            self.ids.insert(index, id);
        }
    }

    /// Removes an endpoint, if it is on the ring.
    pub(super) fn remove(&mut self, id: EndpointId) {
        if let Ok(index) = self.search(id) {
            self.ids.remove(index);
        }
    }

    /// Returns all endpoints, starting at this node's position.
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

/// Returns the position of an endpoint on the ring. Fibonacci hashing places neighbouring ids far
/// apart.
fn position(id: EndpointId) -> u64 {
    /// 2^64 divided by the golden ratio.
    const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    id.0.wrapping_mul(MULTIPLIER)
}
