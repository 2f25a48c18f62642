//! The node itself: the only owner of the [`Balancer`]. One loop takes events in and carries actions out;
//! it decides nothing. Its request table alone gives final answers, and gives each exactly once.

use crate::clock::Clock;
use crate::config::Config;
use crate::logging::{log, log_peer};
use crate::message::{
    AttemptResult, DiscoveryCommand, FinalAnswer, HealthCheckResult, IncomingRequest, Message, StopReason,
};
use crate::request_table::{Due, NewAttempt, RequestTable};
use crate::upstream::{Attempt, Upstream};
use ottertiller_balancer::*;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::sleep_until;

pub struct Dispatcher {
    clock: Clock,
    balancer: Balancer,
    upstream: Rc<Upstream>,
    messages: mpsc::Sender<Message>,
    discovery: mpsc::Sender<DiscoveryCommand>,
    tick: Duration,
    max_attempts: usize,
    requests: RequestTable,
}

impl Dispatcher {
    pub fn new(
        clock: Clock,
        config: &Config,
        upstream: Rc<Upstream>,
        messages: mpsc::Sender<Message>,
        discovery: mpsc::Sender<DiscoveryCommand>,
    ) -> Self {
        let settings = config.site.settings.clone();
        Dispatcher {
            clock,
            upstream,
            messages,
            discovery,
            tick: settings.tick,
            max_attempts: settings.limits.max_attempts.max(1) as usize,
            balancer: Balancer::new(settings, config.seed),
            requests: RequestTable::default(),
        }
    }

    pub async fn run(&mut self, inbox: &mut mpsc::Receiver<Message>) {
        loop {
            let due = self.requests.next_due();
            let wait = sleep_until(self.clock.instant(due.unwrap_or_default()));
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                },
                () = wait, if due.is_some() => {}
            }
            self.fire();
        }
    }

    fn fire(&mut self) {
        let now = self.clock.now();
        while let Some(due) = self.requests.pop_due(now) {
            match due {
                Due::Balancer(token) => self.decide(Event::Timer { token }),
                Due::Attempt(id, number) => self.requests.stop_attempt(id, number, StopReason::TimedOut),
                Due::Deadline(id) => self.overdue(id),
            }
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Request(taken) => self.on_request(taken),
            Message::ClientDisconnected(id) => {
                if self.requests.abandon(id) {
                    self.decide(Event::ClientDisconnected { id });
                }
            }
            Message::Attempt(ended) => self.on_attempt(ended),
            Message::HealthCheck(HealthCheckResult { endpoint, outcome, sent, report }) => {
                let elapsed = self.clock.now().saturating_sub(sent);
                self.decide(Event::HealthChecked(HealthCheckEnd { endpoint, outcome, elapsed, report }));
            }
            Message::Shutdown => {
                for id in self.requests.unanswered() {
                    self.overdue(id);
                }
            }
            Message::EndpointList(update) => {
                self.upstream.update_endpoints(update.kind, &update.endpoints);
                let entries = update.endpoints.into_iter().map(|endpoint| endpoint.entry).collect();
                self.decide(Event::EndpointList { kind: update.kind, entries });
            }
        }
    }

    fn on_request(&mut self, taken: Box<IncomingRequest>) {
        let IncomingRequest { mut new, received: at, forward, reply } = *taken;
        let (id, deadline) = (new.id, forward.deadline);
        let waited = self.clock.now().saturating_sub(at);
        new.remaining = new.remaining.saturating_sub(waited);
        self.requests.insert(id, forward, reply);
        // A tick early: the answer is to be with the client before it gives up.
        self.requests.set_timer(deadline.saturating_sub(self.tick), Due::Deadline(id));
        self.decide(Event::Request(new));
    }

    fn on_attempt(&mut self, ended: AttemptResult) {
        let Some(attempt) = self.requests.attempt_ended(ended.id, ended.number) else { return };
        // The first served answer is the client's; a later one only informs the module.
        let served = ended.body.is_some_and(|body| self.requests.answer(ended.id, FinalAnswer::Served(body)));
        self.decide(Event::AttemptEnded(AttemptEnd {
            id: ended.id,
            attempt: ended.number,
            endpoint: attempt.endpoint,
            outcome: ended.outcome,
            elapsed: self.clock.now().saturating_sub(attempt.sent),
            finished: attempt.answered || served,
            report: ended.report,
        }));
    }

    /// Whatever the module does, nobody is left without an answer at the deadline.
    fn overdue(&mut self, id: RequestId) {
        if self.requests.answer(id, FinalAnswer::TimedOut) {
            log_peer(format_args!("request {} was unanswered when its time was up: failed", id.0));
            self.decide(Event::ClientDisconnected { id });
        }
    }

    /// Lets the module decide, and carries out what it says.
    fn decide(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            self.balancer.handle(self.clock.now(), event, &mut actions);
            for action in actions {
                if let Some(event) = self.act(action) {
                    events.push_back(event);
                }
            }
        }
    }

    /// Carries out an action. An attempt that can't even start ends at once, with the event returned.
    fn act(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::StartAttempt { id, endpoint, timeout } => return self.send(id, endpoint, timeout),
            Action::Shed { id, retry_after } => {
                self.requests.answer(id, FinalAnswer::Shed(retry_after));
            }
            Action::Fail { id } => {
                self.requests.answer(id, FinalAnswer::Failed);
            }
            Action::CancelAttempt { id, attempt } => {
                self.requests.stop_attempt(id, attempt, StopReason::Cancelled)
            }
            Action::SetTimer { after, token } => {
                self.requests.set_timer(self.clock.now() + after, Due::Balancer(token));
            }
            Action::HealthCheck { endpoint } => self.probe(endpoint),
            Action::CloseIdleConnections { endpoint } => self.upstream.close_idle_connections(endpoint),
            Action::Subscribe { enabled } => self.order(DiscoveryCommand::Subscribe(enabled)),
            Action::FetchEndpointList => self.order(DiscoveryCommand::Fetch),
            // No message between nodes: the module sends none, and the site allows none.
            Action::SendToPeer { .. } => log("a message to another node was dropped"),
            Action::Log { text } => log(text),
        }
        None
    }

    fn send(&mut self, id: RequestId, endpoint: EndpointId, timeout: Duration) -> Option<Event> {
        let now = self.clock.now();
        let (number, forward) = match self.requests.new_attempt(id, endpoint, now, self.max_attempts)? {
            NewAttempt::Permitted { number, forward } => (number, forward),
            NewAttempt::Refused { number, answered } => {
                return Some(Event::AttemptEnded(AttemptEnd {
                    id,
                    attempt: number,
                    endpoint,
                    outcome: Outcome::NotSent,
                    elapsed: Duration::ZERO,
                    finished: answered,
                    report: None,
                }));
            }
        };
        let deadline = forward.deadline;
        let until = if timeout.is_zero() { deadline } else { deadline.min(now + timeout) };
        let (stop, stopped) = oneshot::channel();
        self.requests.attempt_started(id, endpoint, now, stop);
        self.requests.set_timer(until, Due::Attempt(id, number));
        let attempt = Attempt { id, number, endpoint, until, forward };
        let (upstream, messages) = (self.upstream.clone(), self.messages.clone());
        spawn_local(async move {
            let ended = upstream.run_attempt(attempt, stopped).await;
            let _ = messages.send(Message::Attempt(ended)).await; // fails only when the node has ended
        });
        None
    }

    fn probe(&mut self, endpoint: EndpointId) {
        let (sent, upstream, messages) = (self.clock.now(), self.upstream.clone(), self.messages.clone());
        spawn_local(async move {
            let result = upstream.check_health(endpoint, sent).await;
            let _ = messages.send(Message::HealthCheck(result)).await; // fails only when the node has ended
        });
    }

    fn order(&mut self, order: DiscoveryCommand) {
        if self.discovery.try_send(order).is_err() {
            log("discovery has too much to do: a call was dropped");
        }
    }
}

#[cfg(test)]
#[path = "dispatcher_tests.rs"]
mod tests;
