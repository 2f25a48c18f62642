//! The life cycle of a request, from its arrival to its final answer: the only place that sheds or
//! fails one.

use super::Balancer;
use crate::admission;
use crate::requests::{PendingRequest, RequestStage};
use crate::retry::idempotency;
use crate::{Action, AttemptEnd, NewRequest, RequestId, Timer};
use std::time::Duration;

impl Balancer {
    pub(super) fn on_request(&mut self, new: NewRequest, actions: &mut Vec<Action>) {
        let class = new.class.min(self.settings.classes.len() - 1);
        let deadline = self.useful_until(&new, class);
        let relative_work = self.declared_work.record(new.cost_hint);
        self.slow_start.record_arrival(relative_work, self.now);
        self.retry_budget.deposit();
        let request = PendingRequest {
            class,
            idempotency: self.settings.classes[class].idempotency,
            relative_work,
            priority: self.priorities.record_request(class, new.tenant, self.now),
            deadline,
            attempts: Vec::new(),
            stage: self.first_stage(),
        };
        self.requests.insert(new.id, request);
        let time_left = deadline.saturating_sub(self.now);
        if admission::cannot_finish_in_time(new.cost_hint, time_left, self.join_up_to.busy_share())
        {
            return self.answer(new.id, actions);
        }
        actions.push(Action::SetTimer {
            after: time_left,
            timer: Timer::Request(new.id),
        });
        self.dispatch(new.id, actions);
    }

    fn first_stage(&self) -> RequestStage {
        if self.settings.loads_are_polled() {
            RequestStage::before_health_checks()
        } else {
            RequestStage::routable()
        }
    }

    /// Until when a response is of use: up to the latency objective where late responses count for
    /// nothing. The client leaves at its deadline, and the timer comes a tick late at most.
    fn useful_until(&mut self, new: &NewRequest, class: usize) -> Duration {
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
            return self.answer(id, actions);
        }
        // What was queued for health checks, or for want of endpoints, has waited long enough.
        request.stage.finish_health_checks();
        self.queued.remove(id);
        self.dispatch(id, actions);
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
        let needs_no_answer = end.request_finished || request.stage.is_closed();
        let all_ended = request.in_flight() == 0;
        self.learn(&end);
        if needs_no_answer {
            self.close(end.id, actions);
        } else if all_ended {
            self.dispatch(end.id, actions);
        }
    }

    /// Gives the final answer, the only place that does: shed if the client may safely retry, else
    /// failed. Waits for attempts in flight, which may still be served.
    pub(super) fn answer(&mut self, id: RequestId, actions: &mut Vec<Action>) {
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

    /// Nothing more is sent for a request. Its attempts in flight are cancelled, and it is kept
    /// until they end.
    pub(super) fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.queued.remove(id);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if !request.stage.is_closed()
            && !request.stage.is_streaming()
            && self.settings.limits.cancel
        {
            let attempts = request.attempts.iter().zip(0..);
            let in_flight = attempts.filter(|(attempt, _)| attempt.is_in_flight());
            actions.extend(in_flight.map(|(_, attempt)| Action::CancelAttempt { id, attempt }));
        }
        request.stage.close();
        if request.in_flight() == 0 {
            self.requests.remove(&id);
        }
    }
}
