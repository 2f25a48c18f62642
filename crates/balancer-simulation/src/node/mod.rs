//! One node and everything around it: delivers legal events, executes the actions, and checks the
//! rules that a node must keep with bookkeeping of its own.

mod invariants;

use super::fixtures::{entry, in_flight_report, ms};
use ottertiller_balancer::{
    Action, AttemptEnd, Balancer, EndpointEntry, EndpointId, EndpointState, Event, HealthCheckEnd,
    ListKind, NewRequest, Outcome, RequestId, Settings, Timer,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// After this time a health check has no result any more.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(250);

struct Attempt {
    endpoint: EndpointId,
    started: Duration,
    times_out: Duration,
    outcome: Option<Outcome>,
}

struct RequestState {
    class: usize,
    deadline: Duration,
    answered: bool,
    attempts: Vec<Attempt>,
}

/// What the node last learned of an endpoint.
struct ListedEndpoint {
    entry: EndpointEntry,
    /// When the node learned that the endpoint drains or has gone.
    stopped: Option<Duration>,
}

struct PendingHealthCheck {
    endpoint: EndpointId,
    started: Duration,
}

/// A simulation of a single node. Panics when the node breaks a rule.
pub struct NodeSimulation {
    pub now: Duration,
    pub settings: Settings,
    pub balancer: Balancer,
    /// All actions so far.
    pub actions: Vec<Action>,
    requests: BTreeMap<RequestId, RequestState>,
    timers: BTreeMap<(Duration, usize), Timer>,
    timers_set: usize,
    listed: BTreeMap<EndpointId, ListedEndpoint>,
    health_checks: Vec<PendingHealthCheck>,
    next_id: u64,
}

impl NodeSimulation {
    pub fn new(settings: Settings) -> Self {
        Self::with_seed(settings, 1)
    }

    pub fn with_seed(settings: Settings, seed: u64) -> Self {
        NodeSimulation {
            now: ms(100_000),
            balancer: Balancer::new(settings.clone(), seed),
            settings,
            actions: Vec::new(),
            requests: BTreeMap::new(),
            timers: BTreeMap::new(),
            timers_set: 0,
            listed: BTreeMap::new(),
            health_checks: Vec::new(),
            next_id: 1,
        }
    }

    /// A node whose list holds the endpoints 0, 1, 2 ...
    pub fn with_endpoints(settings: Settings, count: u64) -> Self {
        let mut node = NodeSimulation::new(settings);
        node.update_endpoints(ListKind::Snapshot, (0..count).map(entry).collect());
        node
    }

    /// Lets the node handle an event, checks and executes its actions, and returns them.
    pub fn deliver(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            self.execute(action);
        }
        self.actions.extend(actions.iter().cloned());
        actions
    }

    pub fn update_endpoints(&mut self, kind: ListKind, entries: Vec<EndpointEntry>) -> Vec<Action> {
        let now = self.now;
        if matches!(kind, ListKind::Snapshot | ListKind::Cached) {
            for listed in self.listed.values_mut() {
                listed.stopped = listed.stopped.or(Some(now));
            }
        }
        for entry in &entries {
            let since = self
                .listed
                .get(&entry.id)
                .and_then(|listed| listed.stopped)
                .unwrap_or(now);
            let stopped = (entry.state != EndpointState::Ready).then_some(since);
            self.listed.insert(
                entry.id,
                ListedEndpoint {
                    entry: *entry,
                    stopped,
                },
            );
        }
        self.deliver(Event::EndpointList { kind, entries })
    }

    /// A request of a class, with the whole time of the fixtures' classes.
    pub fn request(&mut self, class: usize) -> (RequestId, Vec<Action>) {
        self.request_with(class, 0, ms(1000), None)
    }

    pub fn request_with(
        &mut self,
        class: usize,
        tenant: usize,
        remaining: Duration,
        cost_hint: Option<Duration>,
    ) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let request = NewRequest {
            id,
            class,
            tenant,
            key: 0,
            remaining,
            cost_hint,
            client_retry: false,
        };
        (id, self.submit(request))
    }

    pub fn submit(&mut self, request: NewRequest) -> Vec<Action> {
        let state = RequestState {
            class: request.class,
            deadline: self.now + request.remaining,
            answered: false,
            attempts: Vec::new(),
        };
        self.requests.insert(request.id, state);
        self.deliver(Event::Request(request))
    }

    /// Ends an attempt in flight; `in_flight` is what the endpoint reports with it.
    pub fn end_attempt(
        &mut self,
        id: RequestId,
        number: usize,
        outcome: Outcome,
        in_flight: Option<f32>,
    ) -> Vec<Action> {
        let request = self.requests.get_mut(&id).expect("a request");
        let attempt = &mut request.attempts[number];
        assert!(attempt.outcome.is_none(), "the test ends an attempt twice");
        attempt.outcome = Some(outcome);
        request.answered |= outcome == Outcome::Served;
        let end = AttemptEnd {
            id,
            attempt: number as u32,
            endpoint: attempt.endpoint,
            outcome,
            elapsed: self.now - attempt.started,
            request_finished: request.answered,
            report: in_flight.map(in_flight_report),
        };
        self.deliver(Event::AttemptEnded(end))
    }

    /// Ends the oldest pending health check; without a report it has timed out.
    pub fn end_health_check(&mut self, in_flight: Option<f32>) -> Option<EndpointId> {
        if self.health_checks.is_empty() {
            return None;
        }
        let PendingHealthCheck { endpoint, started } = self.health_checks.remove(0);
        let outcome = if in_flight.is_some() {
            Outcome::Served
        } else {
            Outcome::TimedOut
        };
        let elapsed = self.now - started;
        let report = in_flight.map(in_flight_report);
        self.deliver(Event::HealthCheckEnded(HealthCheckEnd {
            endpoint,
            outcome,
            elapsed,
            report,
        }));
        Some(endpoint)
    }

    /// Answers all pending health checks: those of the named endpoints report idle, the others
    /// busy.
    pub fn answer_health_checks(&mut self, idle: &[u64]) {
        while let Some(check) = self.health_checks.first() {
            let in_flight = if idle.contains(&check.endpoint.0) {
                0.0
            } else {
                2.0
            };
            self.end_health_check(Some(in_flight));
        }
    }

    pub fn disconnect_client(&mut self, id: RequestId) {
        self.requests.get_mut(&id).expect("a request").answered = true;
        self.deliver(Event::ClientDisconnected { id });
    }

    /// Lets time pass: timers come due, attempts and health checks time out.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = (self.now + self.settings.tick).min(end);
            self.fire_timers();
            self.time_out_attempts();
            while self
                .health_checks
                .first()
                .is_some_and(|c| self.now >= c.started + HEALTH_CHECK_TIMEOUT)
            {
                self.end_health_check(None);
            }
            self.check_deadlines();
        }
    }

    fn fire_timers(&mut self) {
        while let Some((&due, _)) = self
            .timers
            .first_key_value()
            .filter(|((at, _), _)| *at <= self.now)
        {
            let timer = self.timers.remove(&due).expect("a timer");
            self.deliver(Event::Timer(timer));
        }
    }

    fn time_out_attempts(&mut self) {
        for (id, number) in self.in_flight() {
            let attempt = &self.requests[&id].attempts[number];
            if attempt.outcome.is_none() && attempt.times_out <= self.now {
                self.end_attempt(id, number, Outcome::TimedOut, None);
            }
        }
    }

    /// The attempts in flight, each as its request and its number.
    pub fn in_flight(&self) -> Vec<(RequestId, usize)> {
        let mut in_flight = Vec::new();
        for (id, request) in &self.requests {
            for (number, attempt) in request.attempts.iter().enumerate() {
                if attempt.outcome.is_none() {
                    in_flight.push((*id, number));
                }
            }
        }
        in_flight
    }

    pub fn since_first_attempt(&self, id: RequestId) -> Duration {
        self.now - self.requests[&id].attempts[0].started
    }

    pub fn is_answered(&self, id: RequestId) -> bool {
        self.requests[&id].answered
    }

    pub fn endpoint_of(&self, id: RequestId, attempt: usize) -> EndpointId {
        self.requests[&id].attempts[attempt].endpoint
    }

    /// The requests that are still owed a response.
    pub fn unanswered(&self) -> Vec<RequestId> {
        let open = self
            .requests
            .iter()
            .filter(|(_, request)| !request.answered);
        open.map(|(id, _)| *id).collect()
    }

    fn execute(&mut self, action: &Action) {
        match action {
            Action::StartAttempt {
                id,
                endpoint,
                timeout,
            } => {
                self.check_attempt(*id, *endpoint);
                self.start_attempt(*id, *endpoint, *timeout);
            }
            Action::Shed { id, .. } => {
                self.check_shed(*id);
                self.answer(*id);
            }
            Action::Fail { id } => self.answer(*id),
            Action::CancelAttempt { id, attempt } => {
                assert!(
                    self.settings.limits.cancel,
                    "cancels where that is not allowed"
                );
                let request = self.requests.get_mut(id).expect("a request");
                // Its outcome comes with the next tick.
                request.attempts[*attempt as usize].times_out = self.now;
            }
            Action::SetTimer { after, timer } => {
                // Never in the round that is being answered.
                let due = (self.now + *after).max(self.now + Duration::from_nanos(1));
                self.timers_set += 1;
                self.timers.insert((due, self.timers_set), *timer);
            }
            Action::HealthCheck { endpoint } => {
                assert!(
                    self.settings.limits.health_checks,
                    "health checks where they are not allowed"
                );
                self.health_checks.push(PendingHealthCheck {
                    endpoint: *endpoint,
                    started: self.now,
                });
            }
            Action::Subscribe { .. } => {}
        }
    }

    fn start_attempt(&mut self, id: RequestId, endpoint: EndpointId, timeout: Duration) {
        let request = self.requests.get_mut(&id).expect("a request");
        let times_out = (self.now + timeout).min(request.deadline);
        request.attempts.push(Attempt {
            endpoint,
            started: self.now,
            times_out,
            outcome: None,
        });
    }

    fn answer(&mut self, id: RequestId) {
        let request = self
            .requests
            .get_mut(&id)
            .expect("rule 1: answers a request it was not given");
        assert!(!request.answered, "rule 1: a second response to {id:?}");
        request.answered = true;
    }
}
