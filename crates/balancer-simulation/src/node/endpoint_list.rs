//! The endpoint list as the node was notified of it.

use super::NodeSimulation;
use ottertiller_balancer::{Action, EndpointEntry, EndpointState, Event, ListKind};
use std::time::Duration;

/// An endpoint as the node last knew it.
pub(super) struct ListedEndpoint {
    pub(super) entry: EndpointEntry,
    /// When the node was notified that the endpoint drains or was removed.
    pub(super) stopped: Option<Duration>,
}

impl NodeSimulation {
    /// Delivers an endpoint list, and returns the actions that follow.
    pub fn update_endpoints(&mut self, kind: ListKind, entries: Vec<EndpointEntry>) -> Vec<Action> {
        if matches!(kind, ListKind::Snapshot | ListKind::Cached) {
            self.stop_listed_endpoints();
        }
        for entry in &entries {
            self.record_entry(*entry);
        }
        self.deliver(Event::EndpointList { kind, entries })
    }

    /// Delivers the failure of a call for the endpoint list.
    pub fn fail_endpoint_list(&mut self) -> Vec<Action> {
        self.update_endpoints(ListKind::Failed, Vec::new())
    }

    fn stop_listed_endpoints(&mut self) {
        let now = self.now;
        for listed in self.listed.values_mut() {
            listed.stopped = listed.stopped.or(Some(now));
        }
    }

    fn record_entry(&mut self, entry: EndpointEntry) {
        let since = self
            .listed
            .get(&entry.id)
            .and_then(|listed| listed.stopped)
            .unwrap_or(self.now);
        let stopped = (entry.state != EndpointState::Ready).then_some(since);
        self.listed
            .insert(entry.id, ListedEndpoint { entry, stopped });
    }
}
