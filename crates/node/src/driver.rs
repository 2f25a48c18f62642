//! The driver, which owns the [`Balancer`] and is the only part of the node that calls it.
//!
//! Its loop converts messages and due timers into events for the balancer, and executes the actions
//! that the balancer returns. The balancer makes all decisions. Only the [`RequestTable`] sends
//! final responses, exactly one for each request.

mod actions;
mod address_claims;
mod request_table;
mod tasks;
mod timer_queue;

use crate::clock::Clock;
use crate::logging::log_rate_limited;
use crate::message::{
    CompletedAttempt, CompletedHealthCheck, DiscoveryCommand, DriverMessage, EndpointListUpdate,
    FinalResponse, IncomingRequest, StopReason,
};
use crate::upstream::Upstream;
use address_claims::AddressClaims;
use ottertiller_balancer::{AttemptEnd, Balancer, Event, HealthCheckEnd, RequestId, Settings};
use request_table::RequestTable;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tasks::TaskSpawner;
use timer_queue::DriverTimer;
use tokio::sync::mpsc;
use tokio::time::sleep_until;

/// The options of the driver.
pub(crate) struct DriverOptions {
    /// The balancer's settings.
    pub settings: Settings,
    /// The seed of the balancer's random number generator.
    pub seed: u64,
}

/// The channels on which the driver sends.
pub(crate) struct DriverChannels {
    /// The driver's own inbox, to which the tasks that it spawns report.
    pub driver: mpsc::Sender<DriverMessage>,
    /// The inbox of discovery.
    pub discovery: mpsc::Sender<DiscoveryCommand>,
}

/// Passes events to the balancer, and executes its actions.
pub(crate) struct Driver {
    clock: Clock,
    balancer: Balancer,
    upstream: Rc<Upstream>,
    tasks: TaskSpawner,
    discovery: mpsc::Sender<DiscoveryCommand>,
    /// The balancer's tick. Requests without a response are ended this long before their deadline.
    tick: Duration,
    requests: RequestTable,
    address_claims: AddressClaims,
}

impl Driver {
    /// Creates a driver that has no requests yet.
    pub(crate) fn new(
        clock: Clock,
        options: DriverOptions,
        upstream: Rc<Upstream>,
        channels: DriverChannels,
    ) -> Self {
        let settings = options.settings;
        let max_attempts = settings.limits.max_attempts.max(1) as usize;
        Driver {
            clock,
            tasks: TaskSpawner::new(upstream.clone(), channels.driver),
            upstream,
            discovery: channels.discovery,
            tick: settings.tick,
            requests: RequestTable::new(max_attempts),
            address_claims: AddressClaims::default(),
            balancer: Balancer::new(settings, options.seed),
        }
    }

    /// Handles messages and timers until the inbox is closed.
    pub(crate) async fn run(&mut self, inbox: &mut mpsc::Receiver<DriverMessage>) {
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
                DriverTimer::Balancer(timer) => self.handle_event(Event::Timer(timer)),
                DriverTimer::AttemptTimeout(id) => {
                    self.requests.stop_attempt(id, StopReason::TimedOut);
                }
                DriverTimer::Deadline(id) => {
                    self.end_without_response(id, "deadline exceeded");
                }
            }
        }
    }

    fn on_message(&mut self, message: DriverMessage) {
        match message {
            DriverMessage::Request(request) => self.on_request(*request),
            DriverMessage::ClientDisconnected(id) => self.on_client_disconnected(id),
            DriverMessage::AttemptEnded(completed) => self.on_attempt_ended(completed),
            DriverMessage::HealthCheckEnded(completed) => self.on_health_check_ended(completed),
            DriverMessage::EndpointList(update) => self.on_endpoint_list(update),
            DriverMessage::Shutdown => self.on_shutdown(),
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
        let inbox_delay = self.clock.now().saturating_sub(received_at);
        request.remaining = request.remaining.saturating_sub(inbox_delay);
        // One tick before the deadline, so that the response reaches the client while it still
        // waits.
        let respond_by = upstream_request.deadline.saturating_sub(self.tick);
        self.requests.insert(id, upstream_request, response_sender);
        self.requests
            .set_timer(respond_by, DriverTimer::Deadline(id));
        self.handle_event(Event::Request(request));
    }

    fn on_client_disconnected(&mut self, id: RequestId) {
        if self.requests.client_disconnected(id) {
            self.handle_event(Event::ClientDisconnected { id });
        }
    }

    fn on_attempt_ended(&mut self, completed: CompletedAttempt) {
        let id = completed.id;
        let Some(attempt) = self.requests.end_attempt(id) else {
            return;
        };
        // The first served response becomes the final response. A later one is only reported to the
        // balancer.
        let is_final_response = match completed.response_body {
            Some(body) => self
                .requests
                .respond(id.request, FinalResponse::Served(body)),
            None => false,
        };
        self.handle_event(Event::AttemptEnded(AttemptEnd {
            id: id.request,
            attempt: id.number,
            endpoint: attempt.endpoint,
            outcome: completed.outcome,
            elapsed: self.clock.now().saturating_sub(attempt.started_at),
            request_finished: !attempt.awaited_response || is_final_response,
            report: completed.load_report,
        }));
    }

    fn on_health_check_ended(&mut self, completed: CompletedHealthCheck) {
        self.handle_event(Event::HealthCheckEnded(HealthCheckEnd {
            endpoint: completed.endpoint,
            outcome: completed.outcome,
            elapsed: self.clock.now().saturating_sub(completed.started_at),
            report: completed.load_report,
        }));
    }

    fn on_endpoint_list(&mut self, mut update: EndpointListUpdate) {
        let kind = update.kind;
        for address in self.address_claims.apply(kind, &mut update.endpoints) {
            log_rate_limited(format_args!(
                "endpoint removed: a newer one is listed at its address {address}"
            ));
        }
        self.upstream.update_endpoints(kind, &update.endpoints);
        let entries = update
            .endpoints
            .into_iter()
            .map(|endpoint| endpoint.entry)
            .collect();
        self.handle_event(Event::EndpointList { kind, entries });
    }

    fn on_shutdown(&mut self) {
        for id in self.requests.awaiting_response() {
            self.end_without_response(id, "request ended by shutdown");
        }
    }

    /// Responds with [`FinalResponse::TimedOut`] if the request still awaits its final response.
    /// Called at the deadline and at the end of the drain, this ensures that every request gets a
    /// response even if the balancer gives it none. `cause` is the start of the log line.
    fn end_without_response(&mut self, id: RequestId, cause: &str) {
        if self.requests.respond(id, FinalResponse::TimedOut) {
            log_rate_limited(format_args!("{cause}: request {}: no final response", id.0));
            // Reported as a disconnect, so that the balancer cancels the request's attempts.
            self.handle_event(Event::ClientDisconnected { id });
        }
    }

    /// Passes an event to the balancer, and executes the actions that it returns. Events that these
    /// actions cause are handled in the same way.
    fn handle_event(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            self.balancer.handle(self.clock.now(), event, &mut actions);
            for action in actions {
                events.extend(self.execute(action));
            }
        }
    }
}

#[cfg(test)]
mod tests;
