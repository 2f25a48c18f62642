//! The life cycle of a request, from its arrival until it is closed and its last attempt has ended.

use super::Balancer;
use crate::admission;
use crate::requests::{PendingRequest, RequestStage};
use crate::{Action, AttemptEnd, NewRequest, RequestId, Timer};
use std::time::Duration;

impl Balancer {
    pub(super) fn on_request(&mut self, new: NewRequest, actions: &mut Vec<Action>) {
        let class = new.class.min(self.settings.classes.len() - 1);
        let deadline = self.effective_deadline(&new, class);
        let relative_work = self.declared_work.record(new.cost_hint);
        self.slow_start.record_arrival(relative_work, self.now);
        self.retry_budget.deposit();
        let priority = self.priorities.record_request(class, new.tenant, self.now);
        let request = PendingRequest {
            class,
            idempotency: self.settings.classes[class].idempotency,
            relative_work,
            priority,
            deadline,
            attempts: Vec::new(),
            stage: self.first_stage(),
        };
        self.requests.insert(new.id, request);
        let time_left = deadline.saturating_sub(self.now);
        let busy_share = self.join_up_to.busy_share();
        if admission::cannot_finish_in_time(new.cost_hint, time_left, busy_share) {
            return self.reject(new.id, actions);
        }
        actions.push(Action::SetTimer {
            after: time_left,
            timer: Timer::Request(new.id),
        });
        self.route(new.id, actions);
    }

    fn first_stage(&self) -> RequestStage {
        if self.settings.loads_are_polled() {
            RequestStage::before_health_checks()
        } else {
            RequestStage::routable()
        }
    }

    /// Returns the time until which a response is of use: up to the latency objective where late
    /// responses count for nothing. The client leaves at its deadline, and the timer comes a tick
    /// late at most.
    fn effective_deadline(&mut self, new: &NewRequest, class: usize) -> Duration {
        const MAX_STRETCH: f64 = 1e3;
        let spent = self.client_retries.time_spent(new, class);
        let class = &self.settings.classes[class];
        let deadline = self.now + new.remaining.saturating_sub(2 * self.settings.tick);
        if class.late_weight > 0.0 {
            return deadline;
        }
        let stretch = class.objective_stretch.clamp(0.0, MAX_STRETCH);
        let own_work = new.cost_hint.unwrap_or_default().mul_f64(stretch);
        let objective = (self.now + class.latency_objective + own_work).saturating_sub(spent);
        deadline.min(objective)
    }

    pub(super) fn on_request_timer(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if self.now >= request.deadline {
            return self.reject(id, actions);
        }
        // A request that was queued for health checks, or for want of endpoints, has waited long
        // enough.
        request.stage.finish_health_checks();
        self.queued.remove(id);
        self.route(id, actions);
    }

    pub(super) fn on_stream_started(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.stage.start_streaming();
        }
    }

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

    /// Closes a request: nothing more is sent for it. Its attempts in flight are cancelled, and it
    /// is kept until they end.
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
