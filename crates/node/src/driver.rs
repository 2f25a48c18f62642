//! The driver, the only owner of the [`Balancer`]. Its loop passes events to the balancer and
//! carries out the actions that come back; it decides nothing itself. Its [`RequestTable`] alone
//! gives final responses, and gives each request exactly one.

use crate::clock::Clock;
use crate::logging::{log, log_peer};
use crate::message::{
    AttemptId, CompletedAttempt, CompletedHealthCheck, DiscoveryCommand, EndpointListUpdate,
    FinalResponse, IncomingRequest, Message, StopReason,
};
use crate::request_table::{NewAttempt, RequestTable, Timer};
use crate::upstream::Upstream;
use crate::upstream::attempt::Attempt;
use ottertiller_balancer::*;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::sleep_until;

/// The options of the driver.
pub struct DriverOptions {
    /// The balancer's settings.
    pub settings: Settings,
    /// The seed of the balancer's random choices.
    pub seed: u64,
}

/// Runs the balancer, and carries out what it decides.
pub struct Driver {
    clock: Clock,
    balancer: Balancer,
    upstream: Rc<Upstream>,
    /// To the driver itself, for the tasks that it spawns.
    messages: mpsc::Sender<Message>,
    discovery: mpsc::Sender<DiscoveryCommand>,
    tick: Duration,
    max_attempts: usize,
    requests: RequestTable,
}

impl Driver {
    /// A driver without requests. `messages` leads to the inbox that it will be run with.
    pub fn new(
        clock: Clock,
        options: DriverOptions,
        upstream: Rc<Upstream>,
        messages: mpsc::Sender<Message>,
        discovery: mpsc::Sender<DiscoveryCommand>,
    ) -> Self {
        let settings = options.settings;
        Driver {
            clock,
            upstream,
            messages,
            discovery,
            tick: settings.tick,
            max_attempts: settings.limits.max_attempts.max(1) as usize,
            balancer: Balancer::new(settings, options.seed),
            requests: RequestTable::default(),
        }
    }

    /// Handles messages and timers until the inbox is closed.
    pub async fn run(&mut self, inbox: &mut mpsc::Receiver<Message>) {
        loop {
            let next_due = self.requests.next_due();
            let timer = sleep_until(self.clock.instant(next_due.unwrap_or_default()));
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(message) => self.on_message(message),
                    None => return,
                },
                () = timer, if next_due.is_some() => {}
            }
            self.fire_due_timers();
        }
    }

    fn fire_due_timers(&mut self) {
        let now = self.clock.now();
        while let Some(timer) = self.requests.pop_due(now) {
            match timer {
                Timer::Balancer(timer) => self.on_event(Event::Timer(timer)),
                Timer::AttemptTimeout(id) => {
                    self.requests.stop_attempt(id, StopReason::TimedOut);
                }
                Timer::Deadline(id) => self.on_deadline(id),
            }
        }
    }

    fn on_message(&mut self, message: Message) {
        match message {
            Message::Request(request) => self.on_request(*request),
            Message::ClientDisconnected(id) => self.on_client_disconnected(id),
            Message::AttemptEnded(completed) => self.on_attempt_ended(completed),
            Message::HealthCheckEnded(completed) => self.on_health_check_ended(completed),
            Message::EndpointList(update) => self.on_endpoint_list(update),
            Message::Shutdown => self.on_shutdown(),
        }
    }

    fn on_request(&mut self, incoming: IncomingRequest) {
        let IncomingRequest {
            mut request,
            received_at,
            upstream_request,
            response_sender,
        } = incoming;
        let id = request.id;
        let queued = self.clock.now().saturating_sub(received_at);
        request.remaining = request.remaining.saturating_sub(queued);
        // A tick early: the answer is to reach the client before it stops waiting.
        let answer_by = upstream_request.deadline.saturating_sub(self.tick);
        self.requests.insert(id, upstream_request, response_sender);
        self.requests.set_timer(answer_by, Timer::Deadline(id));
        self.on_event(Event::Request(request));
    }

    fn on_client_disconnected(&mut self, id: RequestId) {
        if self.requests.abandon(id) {
            self.on_event(Event::ClientDisconnected { id });
        }
    }

    fn on_attempt_ended(&mut self, completed: CompletedAttempt) {
        let CompletedAttempt {
            id: AttemptId {
                request: id,
                number,
            },
            outcome,
            load_report: report,
            response_body: body,
        } = completed;
        let Some(attempt) = self.requests.attempt_ended(completed.id) else {
            return;
        };
        // The first response that was served is the final response; a later one only informs the
        // balancer.
        let answers_now = match body {
            Some(body) => self.requests.answer(id, FinalResponse::Served(body)),
            None => false,
        };
        self.on_event(Event::AttemptEnded(AttemptEnd {
            id,
            attempt: number,
            endpoint: attempt.endpoint,
            outcome,
            elapsed: self.clock.now().saturating_sub(attempt.started),
            request_finished: attempt.was_answered || answers_now,
            report,
        }));
    }

    fn on_health_check_ended(&mut self, completed: CompletedHealthCheck) {
        let CompletedHealthCheck {
            endpoint,
            outcome,
            started_at,
            load_report: report,
        } = completed;
        let elapsed = self.clock.now().saturating_sub(started_at);
        self.on_event(Event::HealthCheckEnded(HealthCheckEnd {
            endpoint,
            outcome,
            elapsed,
            report,
        }));
    }

    fn on_endpoint_list(&mut self, update: EndpointListUpdate) {
        self.upstream
            .update_endpoints(update.kind, &update.endpoints);
        let entries = update
            .endpoints
            .into_iter()
            .map(|endpoint| endpoint.entry)
            .collect();
        self.on_event(Event::EndpointList {
            kind: update.kind,
            entries,
        });
    }

    fn on_shutdown(&mut self) {
        for id in self.requests.unanswered() {
            self.on_deadline(id);
        }
    }

    /// Whatever the balancer does, no request is left without an answer at its deadline.
    fn on_deadline(&mut self, id: RequestId) {
        if self.requests.answer(id, FinalResponse::TimedOut) {
            log_peer(format_args!(
                "request {}: deadline exceeded without a final response",
                id.0
            ));
            self.on_event(Event::ClientDisconnected { id });
        }
    }

    /// Passes an event to the balancer, and carries out the actions that follow, with the events
    /// that these cause.
    fn on_event(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            self.balancer.handle(self.clock.now(), event, &mut actions);
            for action in actions {
                events.extend(self.execute(action));
            }
        }
    }

    /// Carries out an action. An attempt that cannot even start ends at once, with the event
    /// returned.
    fn execute(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::StartAttempt {
                id,
                endpoint,
                timeout,
            } => {
                return self.start_attempt(id, endpoint, timeout);
            }
            Action::Shed { id, retry_after } => {
                self.requests.answer(id, FinalResponse::Shed(retry_after));
            }
            Action::Fail { id } => {
                self.requests.answer(id, FinalResponse::Failed);
            }
            Action::CancelAttempt { id, attempt } => {
                let id = AttemptId {
                    request: id,
                    number: attempt,
                };
                self.requests.stop_attempt(id, StopReason::Cancelled);
            }
            Action::SetTimer { after, timer } => {
                self.requests
                    .set_timer(self.clock.now() + after, Timer::Balancer(timer));
            }
            Action::HealthCheck { endpoint } => self.start_health_check(endpoint),
            Action::Subscribe { enabled: true } => {
                self.command_discovery(DiscoveryCommand::Subscribe)
            }
            Action::Subscribe { enabled: false } => {
                self.command_discovery(DiscoveryCommand::Unsubscribe)
            }
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
        match self
            .requests
            .start_attempt(id, endpoint, now, self.max_attempts)?
        {
            NewAttempt::Started {
                number,
                upstream_request,
                stopped,
            } => {
                let expires_at = attempt_end(now, timeout, upstream_request.deadline);
                self.spawn_attempt(
                    Attempt {
                        id: AttemptId {
                            request: id,
                            number,
                        },
                        endpoint,
                        expires_at,
                        upstream_request,
                    },
                    stopped,
                );
                None
            }
            NewAttempt::Refused {
                number,
                is_answered,
            } => Some(Event::AttemptEnded(AttemptEnd {
                id,
                attempt: number,
                endpoint,
                outcome: Outcome::NotSent,
                elapsed: Duration::ZERO,
                request_finished: is_answered,
                report: None,
            })),
        }
    }

    fn spawn_attempt(&mut self, attempt: Attempt, stopped: oneshot::Receiver<StopReason>) {
        self.requests
            .set_timer(attempt.expires_at, Timer::AttemptTimeout(attempt.id));
        let upstream = self.upstream.clone();
        let messages = self.messages.clone();
        spawn_local(async move {
            let result = upstream.run_attempt(attempt, stopped).await;
            // Fails only when the driver has ended.
            let _ = messages.send(Message::AttemptEnded(result)).await;
        });
    }

    fn start_health_check(&mut self, endpoint: EndpointId) {
        let started = self.clock.now();
        let upstream = self.upstream.clone();
        let messages = self.messages.clone();
        spawn_local(async move {
            let result = upstream.check_health(endpoint, started).await;
            let _ = messages.send(Message::HealthCheckEnded(result)).await; // as above
        });
    }

    fn command_discovery(&mut self, command: DiscoveryCommand) {
        if self.discovery.try_send(command).is_err() {
            log("discovery queue full: command dropped");
        }
    }
}

/// When an attempt that starts now is stopped: at its timeout, if it has one, but at the deadline
/// at the latest.
fn attempt_end(now: Duration, timeout: Duration, deadline: Duration) -> Duration {
    if timeout.is_zero() {
        deadline
    } else {
        deadline.min(now + timeout)
    }
}

#[cfg(test)]
mod tests;
