//! Many nodes before the same endpoints: the balancers share nothing but the endpoints that they
//! send to. Events come in the order of their time, and seeded draws stand for chance.

mod action_digest;
mod endpoint;
mod faults;
mod schedule;

use super::fixtures::entry;
use action_digest::ActionDigest;
use endpoint::SimulatedEndpoint;
use ottertiller_balancer::{
    Action, AttemptEnd, Balancer, EndpointEntry, EndpointId, EndpointState, Event, ListKind,
    LoadReport, LoadReportSource, NewRequest, Outcome, RequestId, Settings,
};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use schedule::{Due, Schedule, Scheduled};
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

/// How long a node's call for the endpoint list takes, and a health check.
const LIST_DELAY: Duration = Duration::from_millis(20);
const HEALTH_CHECK_DELAY: Duration = Duration::from_millis(1);

/// What a fleet consists of, and what it is sent.
pub struct FleetConfig<'a> {
    pub settings: &'a Settings,
    pub nodes: u32,
    /// Endpoints that started long ago.
    pub endpoints: u64,
    /// Requests a second that such an endpoint can do.
    pub capacity: f64,
    /// Requests a second in all. Some nodes see several times the mean.
    pub rate: f64,
    pub seed: u64,
    /// Whether endpoints, discovery and clients have faults, requests are of all classes and
    /// tenants, and health checks are answered.
    pub faults: bool,
}

struct Attempt {
    endpoint: EndpointId,
    ended: bool,
}

struct SimulatedNode {
    balancer: Balancer,
    /// How often it was started: what was scheduled before is void.
    run: u32,
    attempts: BTreeMap<RequestId, Vec<Attempt>>,
    rate: f64,
}

pub struct FleetSimulation {
    pub now: Duration,
    settings: Settings,
    capacity: f64,
    nodes: Vec<SimulatedNode>,
    pub endpoints: BTreeMap<EndpointId, SimulatedEndpoint>,
    schedule: Schedule,
    rng: Pcg32,
    pub requests: usize,
    pub served: usize,
    faults: bool,
    /// By how much the clock that the listed times of starts are read from is ahead of the nodes'
    /// own, in milliseconds.
    pub clock_step_ms: i64,
    digest: ActionDigest,
}

impl FleetSimulation {
    pub fn new(config: FleetConfig) -> Self {
        let mut fleet = FleetSimulation {
            now: Duration::from_secs(100),
            settings: Settings {
                node_count: config.nodes,
                ..config.settings.clone()
            },
            capacity: config.capacity,
            nodes: Vec::new(),
            endpoints: BTreeMap::new(),
            schedule: Schedule::default(),
            rng: Pcg32::seed_from_u64(config.seed),
            requests: 0,
            served: 0,
            faults: false,
            clock_step_ms: 0,
            digest: ActionDigest::default(),
        };
        fleet.start_nodes(config.nodes, config.rate);
        for endpoint in 0..config.endpoints {
            fleet.add_endpoint(entry(endpoint));
        }
        for node in 0..fleet.nodes.len() {
            fleet.deliver_snapshot(node);
            fleet.schedule_arrival(node);
        }
        // Faults begin when all nodes have their first list.
        fleet.faults = config.faults;
        fleet
    }

    /// How many actions there were, and a digest of them all.
    pub fn digest(&self) -> (usize, String) {
        self.digest.finish()
    }

    /// The most by which any endpoint in slow start was sent more than all nodes together may send
    /// it; not above 0 if they kept to that.
    pub fn worst_overload(&self) -> f64 {
        self.endpoints
            .values()
            .map(|endpoint| endpoint.worst_overload)
            .fold(f64::MIN, f64::max)
    }

    /// Replaces endpoints by ones that start now, and tells all nodes of it.
    pub fn replace_endpoints(&mut self, removed: Range<u64>, added: Range<u64>) {
        for id in added {
            self.add_endpoint(EndpointEntry {
                started: Some(self.now),
                ..entry(id)
            });
        }
        for id in removed {
            let endpoint = self
                .endpoints
                .get_mut(&EndpointId(id))
                .expect("an endpoint");
            endpoint.entry.state = EndpointState::Draining;
        }
        for node in 0..self.nodes.len() {
            self.deliver_snapshot(node);
        }
    }

    /// Restarts the nodes, one after the other over that time.
    pub fn restart_nodes(&mut self, over: Duration) {
        let count = self.nodes.len() as u32;
        for node in 0..count {
            self.schedule(self.now + over / count * node, node as usize, Due::Restart);
        }
    }

    /// Plays what is due within that time.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some((at, scheduled)) = self.schedule.next_until(end) {
            self.now = at;
            self.play(scheduled);
        }
        self.now = end;
    }

    fn start_nodes(&mut self, count: u32, rate: f64) {
        let weights: Vec<f64> = (0..count)
            .map(|node| if node % 10 == 9 { 4.0 } else { 1.0 })
            .collect();
        let total: f64 = weights.iter().sum();
        for (node, weight) in weights.into_iter().enumerate() {
            let balancer = self.start_balancer(node);
            let rate = rate * weight / total;
            self.nodes.push(SimulatedNode {
                balancer,
                run: 0,
                attempts: BTreeMap::new(),
                rate,
            });
        }
    }

    fn start_balancer(&mut self, node: usize) -> Balancer {
        let settings = Settings {
            node_index: node as u32,
            ..self.settings.clone()
        };
        Balancer::new(settings, self.rng.next_u64())
    }

    fn add_endpoint(&mut self, entry: EndpointEntry) {
        self.endpoints
            .insert(entry.id, SimulatedEndpoint::new(entry, self.now));
    }

    fn schedule(&mut self, at: Duration, node: usize, due: Due) {
        let run = self.nodes[node].run;
        self.schedule.add(at, Scheduled { node, run, due });
    }

    fn schedule_arrival(&mut self, node: usize) {
        let after = Duration::from_secs_f64(self.draw_exponential() / self.nodes[node].rate);
        self.schedule(self.now + after, node, Due::Arrival);
    }

    fn play(&mut self, Scheduled { node, run, due }: Scheduled) {
        match due {
            Due::Arrival => {
                self.schedule_arrival(node);
                self.request(node);
            }
            Due::Restart => self.restart(node),
            _ if run != self.nodes[node].run => {}
            Due::Timer(timer) => self.deliver(node, Event::Timer(timer)),
            Due::AttemptEnd {
                id,
                attempt,
                outcome,
                started,
            } => {
                self.end_attempt(node, id, attempt, outcome, started);
            }
            Due::HealthCheckEnd { endpoint, started } => {
                self.end_health_check(node, endpoint, started)
            }
            Due::ListFailed => {
                self.deliver(
                    node,
                    Event::EndpointList {
                        kind: ListKind::Failed,
                        entries: Vec::new(),
                    },
                );
            }
            Due::ListSnapshot => self.deliver_snapshot(node),
            Due::ClientDisconnect { id } => self.deliver(node, Event::ClientDisconnected { id }),
        }
    }

    fn request(&mut self, node: usize) {
        self.requests += 1;
        let id = RequestId(self.requests as u64);
        self.nodes[node].attempts.insert(id, Vec::new());
        let remaining = self.settings.classes[0].deadline;
        let mut request = NewRequest {
            id,
            remaining,
            ..NewRequest::default()
        };
        if self.faults {
            self.vary_request(&mut request);
        }
        self.deliver(node, Event::Request(request));
        if self.faults {
            self.maybe_disconnect(node, id);
        }
    }

    fn restart(&mut self, node: usize) {
        let balancer = self.start_balancer(node);
        let restarted = &mut self.nodes[node];
        restarted.balancer = balancer;
        restarted.run += 1;
        restarted.attempts.clear();
        self.deliver_snapshot(node);
    }

    fn deliver_snapshot(&mut self, node: usize) {
        let entries = self
            .endpoints
            .values()
            .map(|endpoint| self.listed(endpoint.entry))
            .collect();
        self.deliver(
            node,
            Event::EndpointList {
                kind: ListKind::Snapshot,
                entries,
            },
        );
    }

    fn listed(&self, entry: EndpointEntry) -> EndpointEntry {
        let step = Duration::from_millis(self.clock_step_ms.unsigned_abs());
        let shift = |started: Duration| match self.clock_step_ms {
            0.. => started + step,
            _ => started.saturating_sub(step),
        };
        EndpointEntry {
            started: entry.started.map(shift),
            ..entry
        }
    }

    fn deliver(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node]
            .balancer
            .handle(self.now, event, &mut actions);
        for action in actions {
            self.digest.add(self.now, node, &action);
            self.execute(node, action);
        }
    }

    fn execute(&mut self, node: usize, action: Action) {
        match action {
            Action::StartAttempt {
                id,
                endpoint,
                timeout,
            } => {
                self.start_attempt(node, id, endpoint, timeout);
            }
            Action::SetTimer { after, timer } => {
                let at = self.now + after.max(Duration::from_nanos(1));
                self.schedule(at, node, Due::Timer(timer));
            }
            Action::CancelAttempt { id, attempt } => {
                let (attempt, outcome, started) = (attempt as usize, Outcome::Cancelled, self.now);
                self.schedule(
                    self.now,
                    node,
                    Due::AttemptEnd {
                        id,
                        attempt,
                        outcome,
                        started,
                    },
                );
            }
            Action::HealthCheck { endpoint } if self.faults => {
                let due = Due::HealthCheckEnd {
                    endpoint,
                    started: self.now,
                };
                self.schedule(self.now + HEALTH_CHECK_DELAY, node, due);
            }
            Action::Subscribe { enabled: true } if self.faults => {
                let due = self.draw_list_outcome();
                self.schedule(self.now + LIST_DELAY, node, due);
            }
            _ => {}
        }
    }

    fn start_attempt(&mut self, node: usize, id: RequestId, to: EndpointId, timeout: Duration) {
        let work = self.draw_exponential();
        let endpoint = self
            .endpoints
            .get_mut(&to)
            .expect("an endpoint that is listed");
        let mut ends = endpoint.accept(self.now, work, self.capacity, &self.settings.rules);
        let mut outcome = Outcome::Served;
        let attempts = self.nodes[node].attempts.entry(id).or_default();
        let attempt = attempts.len();
        attempts.push(Attempt {
            endpoint: to,
            ended: false,
        });
        if let Some(fault) = self.draw_attempt_fault(to) {
            (ends, outcome) = (self.now + fault.after, fault.outcome);
        }
        let times_out = self.now + timeout;
        if ends > times_out {
            (ends, outcome) = (times_out, Outcome::TimedOut);
        }
        self.schedule(
            ends,
            node,
            Due::AttemptEnd {
                id,
                attempt,
                outcome,
                started: self.now,
            },
        );
    }

    fn end_attempt(
        &mut self,
        node: usize,
        id: RequestId,
        number: usize,
        outcome: Outcome,
        started: Duration,
    ) {
        let Some(attempts) = self.nodes[node].attempts.get_mut(&id) else {
            return;
        };
        let attempt = &mut attempts[number];
        if std::mem::replace(&mut attempt.ended, true) {
            return; // it was cancelled
        }
        let endpoint = attempt.endpoint;
        let served = outcome == Outcome::Served;
        self.served += usize::from(served);
        self.endpoints
            .get_mut(&endpoint)
            .expect("an endpoint")
            .served += usize::from(served);
        let reports = self.settings.load_reports == LoadReportSource::Responses;
        let end = AttemptEnd {
            id,
            attempt: number as u32,
            endpoint,
            outcome,
            elapsed: self.now - started,
            request_finished: served,
            report: (reports && served).then(|| self.load_report(endpoint)),
        };
        self.deliver(node, Event::AttemptEnded(end));
    }

    fn load_report(&self, endpoint: EndpointId) -> LoadReport {
        self.endpoints[&endpoint].load_report(self.now, self.capacity)
    }
}
