//! The requests that wait for health checks. `health/active_check.rs` decides which do.

use crate::RequestId;

/// In the order of arrival.
#[derive(Default)]
pub struct HeldRequests {
    ids: Vec<RequestId>,
}

impl HeldRequests {
    /// Holds a request.
    pub fn hold(&mut self, id: RequestId) {
        self.ids.push(id);
    }

    /// Whether a request is held.
    pub fn contains(&self, id: RequestId) -> bool {
        self.ids.contains(&id)
    }

    /// A request is held no longer.
    pub fn release(&mut self, id: RequestId) {
        self.ids.retain(|held| *held != id);
    }

    /// All of them.
    pub fn ids(&self) -> &[RequestId] {
        &self.ids
    }
}
