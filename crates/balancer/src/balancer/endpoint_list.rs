//! Applies the endpoint list, and polls discovery for it.

use super::Balancer;
use crate::endpoints::Endpoint;
use crate::{Action, EndpointEntry, ListKind, Timer};

impl Balancer {
    /// Calls discovery if a call is due, and sets the timer for the next check of the schedule.
    pub(super) fn poll_endpoints(&mut self, actions: &mut Vec<Action>) {
        self.subscribe_if_due(actions);
        actions.push(Action::SetTimer {
            after: self.polling.check_interval(),
            timer: Timer::EndpointPolling,
        });
    }

    fn subscribe_if_due(&mut self, actions: &mut Vec<Action>) {
        if self.polling.call_is_due(self.now) {
            actions.push(Action::Subscribe { enabled: true });
        }
    }

    pub(super) fn on_endpoint_list(
        &mut self,
        kind: ListKind,
        entries: Vec<EndpointEntry>,
        actions: &mut Vec<Action>,
    ) {
        match kind {
            ListKind::Failed => {
                self.polling.record_failure(self.now, &mut self.random);
                return self.subscribe_if_due(actions);
            }
            // A cached list does not come from discovery, so polling continues.
            ListKind::Cached => {}
            ListKind::Delta | ListKind::Snapshot => self.polling.record_list(),
        }
        self.apply_endpoint_list(kind, entries);
    }

    /// Adds, updates and removes endpoints. A new or restarted endpoint begins with the mean send
    /// count of this node's subset.
    fn apply_endpoint_list(&mut self, kind: ListKind, entries: Vec<EndpointEntry>) {
        let initial_send_count = self.endpoints.mean_send_count(self.subset_size());
        let had_listed_endpoints = self.endpoints.has_ever_listed_endpoints();
        let (start_times, now) = (&self.start_times, self.now);
        self.endpoints.apply(kind, entries, |entry| {
            let started = start_times.resolve(entry, had_listed_endpoints, now);
            Endpoint::newly_listed(*entry, started, initial_send_count, now)
        });
    }
}
