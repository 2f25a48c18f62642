//! Ends the requests that no endpoint serves. Only this module sheds or fails a request.

use super::Balancer;
use crate::retry::idempotency;
use crate::{Action, RequestId};

impl Balancer {
    /// Sheds a request if its client may safely retry it, otherwise fails it.
    ///
    /// Does nothing before the deadline while attempts are in flight, since they may still be
    /// served, nor for a request that is closed or whose response is being streamed.
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
