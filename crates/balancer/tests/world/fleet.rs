//! Many nodes before the same servers: the balancers share nothing but the servers that they send to. Events come
//! in the order of their time, and seeded draws stand for chance.

use ottertiller_balancer::*;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use sha2::{Digest, Sha256};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

/// A server: one line of waiting requests, served at its present capacity.
pub struct Server {
    pub entry: EndpointEntry,
    free_at: Duration,
    /// When requests were sent to it within the last span of the cold rule.
    lately: VecDeque<Duration>,
    /// The most that it was sent in a span while cold, beyond what the settings allow it then: N + 2 x root of N + 2.
    pub excess: f64,
    pub served: usize,
}

struct Try {
    endpoint: EndpointId,
    ended: bool,
}

struct Node {
    balancer: Balancer,
    /// How often it was started: what was set before is void.
    run: u32,
    tries: BTreeMap<RequestId, Vec<Try>>,
    rate: f64,
}

enum Due {
    Arrival,
    Timer(u64),
    End { id: RequestId, attempt: usize, outcome: Outcome, sent: Duration },
    Restart,
    Probed { endpoint: EndpointId, sent: Duration },
    List { failed: bool },
    ClientGone(RequestId),
}

pub struct Fleet {
    pub now: Duration,
    settings: Settings,
    /// Requests a second that a warm server can do.
    capacity: f64,
    nodes: Vec<Node>,
    pub endpoints: BTreeMap<EndpointId, Server>,
    due: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, (usize, u32, Due)>,
    set: u64,
    rng: Pcg32,
    pub asked: usize,
    pub served: usize,
    /// Servers, discovery and clients misbehave, requests are of all classes and tenants, and probes are answered.
    faults: bool,
    /// Every action so far, in order.
    digest: Sha256,
    actions: usize,
}

impl Fleet {
    /// As `new`, with faults of servers, discovery and clients.
    pub fn with_faults(
        settings: &Settings,
        nodes: u32,
        endpoints: u64,
        capacity: f64,
        rate: f64,
        seed: u64,
    ) -> Self {
        let mut fleet = Fleet::new(settings, nodes, endpoints, capacity, rate, seed);
        fleet.faults = true;
        fleet
    }

    /// How many actions there were, and a digest of them all, with their nodes and times in microseconds.
    pub fn digest(&self) -> (usize, String) {
        let digest = self.digest.clone().finalize();
        (self.actions, digest.iter().take(8).map(|byte| format!("{byte:02x}")).collect())
    }

    fn note(&mut self, node: usize, action: &Action) {
        let micros = |time: &Duration| time.as_micros() as u64;
        let numbers: [u64; 4] = match action {
            Action::StartAttempt { id, endpoint, timeout } => [1, id.0, endpoint.0, micros(timeout)],
            Action::Shed { id, retry_after } => [2, id.0, retry_after.as_ref().map_or(0, micros), 0],
            Action::Fail { id } => [3, id.0, 0, 0],
            Action::CancelAttempt { id, attempt } => [4, id.0, u64::from(*attempt), 0],
            Action::SetTimer { after, token } => [5, micros(after), *token, 0],
            Action::HealthCheck { endpoint } => [6, endpoint.0, 0, 0],
            Action::Subscribe { enabled } => [7, u64::from(*enabled), 0, 0],
            other => panic!("unexpected {other:?}"),
        };
        self.actions += 1;
        self.digest.update(micros(&self.now).to_be_bytes());
        self.digest.update((node as u64).to_be_bytes());
        numbers.iter().for_each(|number| self.digest.update(number.to_be_bytes()));
    }

    /// So many nodes, warm servers and requests a second in all. Some nodes see several times the mean.
    pub fn new(settings: &Settings, nodes: u32, endpoints: u64, capacity: f64, rate: f64, seed: u64) -> Self {
        let mut fleet = Fleet {
            now: Duration::from_secs(100),
            settings: Settings { node_count: nodes, ..settings.clone() },
            capacity,
            nodes: Vec::new(),
            endpoints: BTreeMap::new(),
            due: BinaryHeap::new(),
            events: BTreeMap::new(),
            set: 0,
            rng: Pcg32::seed_from_u64(seed),
            asked: 0,
            served: 0,
            faults: false,
            digest: Sha256::new(),
            actions: 0,
        };
        let weights: Vec<f64> = (0..nodes).map(|n| if n % 10 == 9 { 4.0 } else { 1.0 }).collect();
        let total: f64 = weights.iter().sum();
        for (node, weight) in weights.into_iter().enumerate() {
            let balancer = fleet.started(node);
            let rate = rate * weight / total;
            fleet.nodes.push(Node { balancer, run: 0, tries: BTreeMap::new(), rate });
        }
        for endpoint in 0..endpoints {
            fleet.add(super::entry(endpoint));
        }
        for node in 0..fleet.nodes.len() {
            fleet.tell_all(node);
            fleet.arrive(node);
        }
        fleet
    }

    fn started(&mut self, node: usize) -> Balancer {
        let settings = Settings { node_index: node as u32, ..self.settings.clone() };
        Balancer::new(settings, self.rng.next_u64())
    }

    fn add(&mut self, entry: EndpointEntry) {
        let endpoint =
            Server { entry, free_at: self.now, lately: VecDeque::new(), excess: f64::MIN, served: 0 };
        self.endpoints.insert(entry.id, endpoint);
    }

    /// Replaces servers by ones that start now, and tells all nodes of it.
    pub fn replace(&mut self, gone: std::ops::Range<u64>, new: std::ops::Range<u64>) {
        for id in new {
            self.add(EndpointEntry { started: Some(self.now), ..super::entry(id) });
        }
        for id in gone {
            let endpoint = self.endpoints.get_mut(&EndpointId(id)).expect("a server");
            endpoint.entry.state = EndpointState::Draining;
        }
        (0..self.nodes.len()).for_each(|node| self.tell_all(node));
    }

    /// Has nodes start anew, one after the other over that time.
    pub fn restart_all(&mut self, over: Duration) {
        let count = self.nodes.len() as u32;
        for node in 0..count {
            let run = self.nodes[node as usize].run;
            self.set(self.now + over / count * node, node as usize, run, Due::Restart);
        }
    }

    fn tell_all(&mut self, node: usize) {
        let entries = self.endpoints.values().map(|endpoint| endpoint.entry).collect();
        self.tell(node, Event::EndpointList { kind: ListKind::Snapshot, entries });
    }

    fn chance(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / 2f64.powi(32)
    }

    /// A draw from the exponential distribution of mean 1.
    fn exponential(&mut self) -> f64 {
        -(1.0 - self.chance()).ln()
    }

    fn arrive(&mut self, node: usize) {
        let after = Duration::from_secs_f64(self.exponential() / self.nodes[node].rate);
        let run = self.nodes[node].run;
        self.set(self.now + after, node, run, Due::Arrival);
    }

    fn set(&mut self, at: Duration, node: usize, run: u32, due: Due) {
        self.set += 1;
        self.due.push(Reverse((at, self.set)));
        self.events.insert(self.set, (node, run, due));
    }

    pub fn pass(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some(Reverse((at, number))) = self.due.peek().copied().filter(|next| next.0.0 <= until) {
            self.due.pop();
            let (node, run, due) = self.events.remove(&number).expect("an event");
            self.now = at;
            match due {
                Due::Arrival => {
                    self.arrive(node);
                    self.request(node);
                }
                Due::Restart => self.restart(node),
                _ if run != self.nodes[node].run => {}
                Due::Timer(token) => self.tell(node, Event::Timer { token }),
                Due::End { id, attempt, outcome, sent } => self.end(node, id, attempt, outcome, sent),
                Due::Probed { endpoint, sent } => self.probed(node, endpoint, sent),
                Due::List { failed: true } => {
                    self.tell(node, Event::EndpointList { kind: ListKind::Failed, entries: Vec::new() });
                }
                Due::List { failed: false } => self.tell_all(node),
                Due::ClientGone(id) => self.tell(node, Event::ClientDisconnected { id }),
            }
        }
        self.now = until;
    }

    fn request(&mut self, node: usize) {
        self.asked += 1;
        let id = RequestId(self.asked as u64);
        self.nodes[node].tries.insert(id, Vec::new());
        let remaining = self.settings.classes[0].deadline;
        let mut new = NewRequest { id, remaining, ..NewRequest::default() };
        if self.faults {
            self.vary(&mut new);
        }
        self.tell(node, Event::Request(new));
        if self.faults && self.chance() < 0.05 {
            let after = Duration::from_secs_f64(self.chance() / 10.0);
            let run = self.nodes[node].run;
            self.set(self.now + after, node, run, Due::ClientGone(id));
        }
    }

    /// Makes a request one of any class and tenant, perhaps a repeat, perhaps with a hint of its cost.
    fn vary(&mut self, new: &mut NewRequest) {
        new.class = (self.chance() * self.settings.classes.len() as f64) as usize;
        new.tenant = (self.chance() * self.settings.tenants.len() as f64) as usize;
        new.client_retry = self.chance() < 0.2;
        let part = if new.client_retry { 0.2 + self.chance() * 0.8 } else { 1.0 };
        new.remaining = self.settings.classes[new.class].deadline.mul_f64(part);
        let cost = Duration::from_secs_f64(self.exponential() / self.capacity);
        new.cost_hint = (self.chance() < 0.7).then_some(cost);
    }

    /// What goes wrong with an attempt at a server, and when.
    fn fault(&mut self, to: EndpointId) -> Option<(Duration, Outcome)> {
        let soon = Duration::from_secs_f64(0.001 + self.chance() / 200.0);
        let chance = self.chance();
        match to.0 % 9 {
            3 if chance < 0.6 => Some((soon, Outcome::Error)),
            7 if chance < 0.5 => Some((Duration::from_secs(60), Outcome::Reset)),
            _ if chance < 0.01 => Some((soon, Outcome::Reset)),
            _ if chance < 0.02 => Some((soon, Outcome::ConnectFailed)),
            _ if chance < 0.05 => Some((soon, Outcome::Rejected)),
            _ => None,
        }
    }

    /// What a server says of its load: the requests that it holds.
    fn load(&self, endpoint: EndpointId) -> LoadReport {
        let left = self.endpoints[&endpoint].free_at.saturating_sub(self.now).as_secs_f64();
        LoadReport { in_flight: Some((left * self.capacity).ceil() as f32), ..LoadReport::default() }
    }

    fn probed(&mut self, node: usize, endpoint: EndpointId, sent: Duration) {
        let elapsed = self.now - sent;
        let outcome = if self.chance() < 0.05 { Outcome::TimedOut } else { Outcome::Served };
        let report = (outcome == Outcome::Served).then(|| self.load(endpoint));
        self.tell(node, Event::HealthChecked(HealthCheckEnd { endpoint, outcome, elapsed, report }));
    }

    fn restart(&mut self, node: usize) {
        let balancer = self.started(node);
        let new = &mut self.nodes[node];
        (new.balancer, new.run) = (balancer, new.run + 1);
        new.tries.clear();
        self.tell_all(node);
    }

    fn end(&mut self, node: usize, id: RequestId, attempt: usize, outcome: Outcome, sent: Duration) {
        let Some(tries) = self.nodes[node].tries.get_mut(&id) else { return };
        let one = &mut tries[attempt];
        if std::mem::replace(&mut one.ended, true) {
            return; // it was cancelled
        }
        let endpoint = one.endpoint;
        let served = outcome == Outcome::Served;
        self.served += usize::from(served);
        self.endpoints.get_mut(&endpoint).expect("a server").served += usize::from(served);
        let elapsed = self.now - sent;
        let attempt = attempt as u32;
        let reports = self.settings.load_reports == LoadReportSource::Responses;
        let report = (reports && served).then(|| self.load(endpoint));
        let end = AttemptEnd { id, attempt, endpoint, outcome, elapsed, finished: served, report };
        self.tell(node, Event::AttemptEnded(end));
    }

    fn tell(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].balancer.handle(self.now, event, &mut actions);
        for action in actions {
            let run = self.nodes[node].run;
            self.note(node, &action);
            match action {
                Action::StartAttempt { id, endpoint, timeout } => self.send(node, id, endpoint, timeout),
                Action::SetTimer { after, token } => {
                    let at = self.now + after.max(Duration::from_nanos(1));
                    self.set(at, node, run, Due::Timer(token));
                }
                Action::CancelAttempt { id, attempt } => {
                    let sent = self.now;
                    let due = Due::End { id, attempt: attempt as usize, outcome: Outcome::Cancelled, sent };
                    self.set(self.now, node, run, due);
                }
                Action::HealthCheck { endpoint } if self.faults => {
                    let at = self.now + Duration::from_millis(1);
                    self.set(at, node, run, Due::Probed { endpoint, sent: self.now });
                }
                Action::Subscribe { enabled: true } if self.faults => {
                    let failed = self.chance() < 0.3;
                    self.set(self.now + Duration::from_millis(20), node, run, Due::List { failed });
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, node: usize, id: RequestId, to: EndpointId, timeout: Duration) {
        let (now, work) = (self.now, self.exponential());
        let (rules, capacity) = (self.settings.rules, self.capacity);
        let endpoint = self.endpoints.get_mut(&to).expect("a server that is listed");
        let warmth = endpoint.entry.started.map_or(1.0, |started| {
            let grown = (now - started).as_secs_f64() / rules.slow_start_window.as_secs_f64();
            (rules.initial_capacity + (1.0 - rules.initial_capacity) * grown).min(1.0)
        });
        if warmth < 1.0 {
            endpoint.lately.push_back(now);
            while endpoint.lately.front().is_some_and(|at| now - *at > rules.overload_window) {
                endpoint.lately.pop_front();
            }
            let allowed = rules.overload_factor * warmth * capacity * rules.overload_window.as_secs_f64();
            let sent = endpoint.lately.len() as f64;
            endpoint.excess = endpoint.excess.max(sent - (allowed + 2.0 * allowed.sqrt() + 2.0));
        }
        let begins = endpoint.free_at.max(now);
        let ends = begins + Duration::from_secs_f64(work / (capacity * warmth));
        endpoint.free_at = ends;
        let tries = self.nodes[node].tries.entry(id).or_default();
        let attempt = tries.len();
        tries.push(Try { endpoint: to, ended: false });
        let fault = if self.faults { self.fault(to) } else { None };
        let (ends, outcome) =
            fault.map_or((ends, Outcome::Served), |(after, outcome)| (now + after, outcome));
        let (at, outcome) =
            if ends <= now + timeout { (ends, outcome) } else { (now + timeout, Outcome::TimedOut) };
        let run = self.nodes[node].run;
        self.set(at, node, run, Due::End { id, attempt, outcome, sent: now });
    }

    /// The most by which any cold server was sent more than all nodes together may send it; not above 0 if they kept
    /// to that.
    pub fn excess(&self) -> f64 {
        self.endpoints.values().map(|endpoint| endpoint.excess).fold(f64::MIN, f64::max)
    }
}
