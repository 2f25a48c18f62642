//! The endpoint list, as it was delivered to the node.

use super::NodeSimulation;
use ottertiller_balancer::{Action, EndpointEntry, EndpointState, Event, ListKind};
use std::time::Duration;

/// An endpoint, as it was last delivered to the node.
pub(super) struct ListedEndpoint {
    pub(super) entry: EndpointEntry,
    /// When the node learned that the endpoint drains or was removed.
    pub(super) unavailable_since: Option<Duration>,
}

impl NodeSimulation {
    /// Delivers an endpoint list, and returns the actions that follow.
    pub fn update_endpoints(&mut self, kind: ListKind, entries: Vec<EndpointEntry>) -> Vec<Action> {
        if matches!(kind, ListKind::Snapshot | ListKind::Cached) {
            self.mark_all_unavailable();
        }
        for entry in &entries {
            self.record_entry(*entry);
        }
        self.deliver(Event::EndpointList { kind, entries })
    }

    /// Reports to the node that a call to discovery has failed. Returns the actions that follow.
    pub fn fail_endpoint_list(&mut self) -> Vec<Action> {
        self.update_endpoints(ListKind::Failed, Vec::new())
    }

    fn mark_all_unavailable(&mut self) {
        let now = self.now;
        for listed in self.listed.values_mut() {
            listed.unavailable_since = listed.unavailable_since.or(Some(now));
        }
    }

    fn record_entry(&mut self, entry: EndpointEntry) {
        let since = self
            .listed
            .get(&entry.id)
            .and_then(|listed| listed.unavailable_since)
            .unwrap_or(self.now);
        let unavailable_since = (entry.state != EndpointState::Ready).then_some(since);
        self.listed.insert(
            entry.id,
            ListedEndpoint {
                entry,
                unavailable_since,
            },
        );
    }
}
