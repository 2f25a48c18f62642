//! Executes the balancer's actions.

use super::Driver;
use super::request_table::AttemptStart;
use super::timer_queue::DriverTimer;
use crate::logging::log;
use crate::message::{AttemptId, DiscoveryCommand, FinalResponse, StopReason};
use crate::upstream::attempt::Attempt;
use ottertiller_balancer::{Action, AttemptEnd, EndpointId, Event, Outcome, RequestId};
use std::time::Duration;
use tokio::sync::oneshot;

impl Driver {
    /// Executes an action. If the action starts an attempt that is not permitted, returns the event
    /// that the attempt has ended.
    pub(super) fn execute(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::StartAttempt {
                id,
                endpoint,
                timeout,
            } => return self.start_attempt(id, endpoint, timeout),
            Action::Shed { id, retry_after } => {
                self.requests.respond(id, FinalResponse::Shed(retry_after));
            }
            Action::Fail { id } => {
                self.requests.respond(id, FinalResponse::Failed);
            }
            Action::CancelAttempt { id, attempt } => self.cancel_attempt(id, attempt),
            Action::SetTimer { after, timer } => {
                let due = self.clock.now() + after;
                self.requests.set_timer(due, DriverTimer::Balancer(timer));
            }
            Action::HealthCheck { endpoint } => {
                self.tasks.spawn_health_check(endpoint, self.clock.now());
            }
            Action::Subscribe { enabled } => self.subscribe(enabled),
        }
        None
    }

    fn start_attempt(
        &mut self,
        id: RequestId,
        endpoint: EndpointId,
        timeout: Duration,
    ) -> Option<Event> {
        let now = self.clock.now();
        match self.requests.start_attempt(id, endpoint, now)? {
            AttemptStart::Started {
                number,
                upstream_request,
                stop_signal,
            } => {
                let attempt = Attempt {
                    id: AttemptId {
                        request: id,
                        number,
                    },
                    endpoint,
                    expires_at: attempt_expiry(now, timeout, upstream_request.deadline),
                    upstream_request,
                };
                self.run_attempt(attempt, stop_signal);
                None
            }
            AttemptStart::NotPermitted {
                number,
                awaits_response,
            } => Some(Event::AttemptEnded(AttemptEnd {
                id,
                attempt: number,
                endpoint,
                outcome: Outcome::NotSent,
                elapsed: Duration::ZERO,
                request_finished: !awaits_response,
                report: None,
            })),
        }
    }

    fn run_attempt(&mut self, attempt: Attempt, stop_signal: oneshot::Receiver<StopReason>) {
        let timeout = DriverTimer::AttemptTimeout(attempt.id);
        self.requests.set_timer(attempt.expires_at, timeout);
        self.tasks.spawn_attempt(attempt, stop_signal);
    }

    fn cancel_attempt(&mut self, request: RequestId, number: u32) {
        let id = AttemptId { request, number };
        self.requests.stop_attempt(id, StopReason::Cancelled);
    }

    fn subscribe(&mut self, enabled: bool) {
        let command = if enabled {
            DiscoveryCommand::Subscribe
        } else {
            DiscoveryCommand::Unsubscribe
        };
        if let Err(error) = self.discovery.try_send(command) {
            log(format_args!("command dropped: discovery: {error}"));
        }
    }
}

/// Returns when an attempt that starts now is stopped: after its timeout or at the deadline,
/// whichever is earlier. A timeout of zero stands for none.
fn attempt_expiry(now: Duration, timeout: Duration, deadline: Duration) -> Duration {
    if timeout.is_zero() {
        deadline
    } else {
        deadline.min(now + timeout)
    }
}
