//! The requests that are queued until health checks end. `health/active_check.rs` decides which
//! requests are queued.

use crate::RequestId;

/// Queued requests, in the order of arrival.
#[derive(Default)]
pub(crate) struct QueuedRequests {
    ids: Vec<RequestId>,
}

impl QueuedRequests {
    /// Adds a request.
    pub(crate) fn enqueue(&mut self, id: RequestId) {
        self.ids.push(id);
    }

    /// Returns whether a request is queued.
    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.ids.contains(&id)
    }

    /// Removes a request, if it is queued.
    pub(crate) fn remove(&mut self, id: RequestId) {
        self.ids.retain(|queued| *queued != id);
    }

    /// Returns the ids of all queued requests.
    pub(crate) fn ids(&self) -> &[RequestId] {
        &self.ids
    }
}
