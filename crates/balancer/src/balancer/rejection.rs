//! How a request ends that no endpoint serves: the only place that sheds or fails one.

use super::Balancer;
use crate::retry::idempotency;
use crate::{Action, RequestId};

impl Balancer {
    /// Ends a request unserved: sheds it if its client may safely retry, else fails it. Waits for
    /// attempts in flight, which may still be served.
    pub(super) fn reject(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.stage.is_closed() || request.stage.is_streaming() {
            return;
        }
        if request.in_flight() > 0 && self.now < request.deadline {
            return;
        }
        if idempotency::client_may_retry(request) {
            let retry_after = self.settings.limits.max_retry_after;
            actions.push(Action::Shed { id, retry_after });
        } else {
            actions.push(Action::Fail { id });
        }
        self.close(id, actions);
    }
}
