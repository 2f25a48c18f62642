//! The life cycle of a request, from its arrival until it is closed and its last attempt has ended.

use super::Balancer;
use crate::admission;
use crate::requests::{PendingRequest, RequestStage};
use crate::{Action, AttemptEnd, NewRequest, RequestId, Timer};
use std::time::Duration;

/// The maximum objective stretch that a class may set.
const MAX_OBJECTIVE_STRETCH: f64 = 1e3;

impl Balancer {
    /// Registers a new request and routes it, or rejects it at once if it declares more work than
    /// its time left allows.
    pub(super) fn on_request(&mut self, new_request: NewRequest, actions: &mut Vec<Action>) {
        let class = new_request.class.min(self.settings.classes.len() - 1);
        let deadline = self.effective_deadline(&new_request, class);
        let relative_work = self.declared_work.record(new_request.cost_hint);
        self.slow_start.record_arrival(relative_work, self.now);
        self.retry_budget.deposit();
        let priority = self
            .priorities
            .record_request(class, new_request.tenant, self.now);
        let request = PendingRequest {
            class,
            idempotency: self.settings.classes[class].idempotency,
            relative_work,
            priority,
            deadline,
            attempts: Vec::new(),
            stage: self.initial_stage(),
        };
        self.requests.insert(new_request.id, request);
        let time_left = deadline.saturating_sub(self.now);
        let busy_share = self.join_up_to.busy_share();
        if admission::has_too_much_work(new_request.cost_hint, time_left, busy_share) {
            return self.reject(new_request.id, actions);
        }
        actions.push(Action::SetTimer {
            after: time_left,
            timer: Timer::Request(new_request.id),
        });
        self.route(new_request.id, actions);
    }

    fn initial_stage(&self) -> RequestStage {
        if self.settings.loads_are_polled() {
            RequestStage::before_health_checks()
        } else {
            RequestStage::routable()
        }
    }

    /// Returns the time after which a response to a new request has no value.
    ///
    /// This is the deadline of the client, or the latency objective of the class if that is earlier
    /// and the class gives no weight to late responses. The objective counts from the first try of
    /// the client. The client disconnects at its deadline and a timer fires up to one tick late, so
    /// the deadline is set two ticks early.
    fn effective_deadline(&mut self, new_request: &NewRequest, class: usize) -> Duration {
        let time_spent = self.client_retries.time_spent(new_request, class);
        let class = &self.settings.classes[class];
        let deadline = self.now + new_request.remaining.saturating_sub(2 * self.settings.tick);
        if class.late_weight > 0.0 {
            return deadline;
        }
        let stretch = class.objective_stretch.clamp(0.0, MAX_OBJECTIVE_STRETCH);
        let extension = new_request.cost_hint.unwrap_or_default().mul_f64(stretch);
        let objective = (self.now + class.latency_objective + extension).saturating_sub(time_spent);
        deadline.min(objective)
    }

    /// Rejects a request at its deadline; before that, routes it again.
    pub(super) fn on_request_timer(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if self.now >= request.deadline {
            return self.reject(id, actions);
        }
        // The request has waited long enough for health checks or for an eligible endpoint: it is
        // routed with what is known now.
        request.stage.finish_health_checks();
        self.queued.remove(id);
        self.route(id, actions);
    }

    /// Records that the response to a request is being streamed.
    pub(super) fn on_stream_started(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.stage.start_streaming();
        }
    }

    /// Records the end of an attempt. Closes the request if it needs no response; otherwise routes
    /// it again once none of its attempts is in flight.
    pub(super) fn on_attempt_ended(&mut self, end: AttemptEnd, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&end.id) else {
            return;
        };
        let Some(attempt) = request.attempts.get_mut(end.attempt as usize) else {
            return;
        };
        if attempt.outcome.replace(end.outcome).is_some() {
            return;
        }
        let needs_no_response = end.request_finished || request.stage.is_closed();
        let all_ended = request.in_flight() == 0;
        self.record_attempt_end(&end);
        if needs_no_response {
            self.close(end.id, actions);
        } else if all_ended {
            self.route(end.id, actions);
        }
    }

    /// Closes a request, so that no further attempt starts, and removes it once its last attempt
    /// has ended. Cancels its attempts in flight if the settings permit that, unless the response
    /// is being streamed.
    pub(super) fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.queued.remove(id);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let may_cancel = !request.stage.is_closed() && !request.stage.is_streaming();
        if may_cancel && self.settings.limits.allow_cancellation {
            for (number, attempt) in (0..).zip(&request.attempts) {
                if attempt.is_in_flight() {
                    actions.push(Action::CancelAttempt {
                        id,
                        attempt: number,
                    });
                }
            }
        }
        request.stage.close();
        if request.in_flight() == 0 {
            self.requests.remove(&id);
        }
    }
}
