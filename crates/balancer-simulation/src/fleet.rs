//! A simulation of many nodes before the same endpoints. The balancers share nothing but the
//! endpoints that they send to. Events are played in the order of their time, and random numbers
//! are drawn from a seed.

mod action_digest;
mod attempts;
mod endpoint;
mod faults;
mod nodes;
mod schedule;

use crate::fixtures::{entry, started_entry};
use crate::virtual_time::START;
use action_digest::ActionDigest;
pub use action_digest::RecordedActions;
pub use endpoint::SimulatedEndpoint;
use nodes::SimulatedNode;
use ottertiller_balancer::{EndpointEntry, EndpointId, EndpointState, Event, Settings};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::SeedableRng;
use schedule::{Due, Schedule, Scheduled};
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

/// The time that a node's call for the endpoint list takes.
const LIST_DELAY: Duration = Duration::from_millis(20);
/// The time that a health check takes.
const HEALTH_CHECK_DELAY: Duration = Duration::from_millis(1);

/// The parts of a fleet, and the requests that it is sent.
pub struct FleetConfig<'a> {
    /// The settings of all nodes; their number and indexes are set by the simulation.
    pub settings: &'a Settings,
    /// The number of nodes.
    pub nodes: u32,
    /// The number of endpoints. They started long ago.
    pub endpoints: u64,
    /// Requests a second that such an endpoint can do.
    pub capacity: f64,
    /// Requests a second in all. Some nodes see several times the mean.
    pub rate: f64,
    /// The seed of all random numbers.
    pub seed: u64,
    /// Whether endpoints, discovery and clients have faults, requests are of all classes and
    /// tenants, and health checks are answered.
    pub faults: bool,
}

/// A simulation of a fleet.
pub struct FleetSimulation {
    /// The virtual time.
    pub now: Duration,
    settings: Settings,
    capacity: f64,
    nodes: Vec<SimulatedNode>,
    /// All endpoints, also those that drain.
    pub endpoints: BTreeMap<EndpointId, SimulatedEndpoint>,
    schedule: Schedule,
    rng: Pcg32,
    /// Requests sent so far.
    pub requests: usize,
    /// Requests served so far.
    pub served: usize,
    faults: bool,
    /// The milliseconds by which the wall clock, which listed start times are read from, is ahead
    /// of the nodes' own clocks.
    pub clock_step_ms: i64,
    digest: ActionDigest,
}

impl FleetSimulation {
    /// Starts the nodes and endpoints, and delivers the first endpoint list to all nodes.
    pub fn new(config: FleetConfig) -> Self {
        let mut fleet = FleetSimulation {
            now: START,
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

    /// Returns the number and the digest of all actions so far.
    pub fn recorded_actions(&self) -> RecordedActions {
        self.digest.finish()
    }

    /// Returns the highest number of requests by which all nodes together exceeded the limit of an
    /// endpoint in slow start; it is not above 0 if they kept to the limits.
    pub fn max_limit_excess(&self) -> f64 {
        self.endpoints
            .values()
            .map(|endpoint| endpoint.max_limit_excess)
            .fold(f64::MIN, f64::max)
    }

    /// Replaces endpoints by ones that start now, and notifies all nodes.
    ///
    /// # Panics
    ///
    /// Panics if an endpoint to be removed was never added.
    pub fn replace_endpoints(&mut self, removed: Range<u64>, added: Range<u64>) {
        for id in added {
            self.add_endpoint(started_entry(id, self.now));
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

    /// Restarts the nodes one after the other within that time.
    pub fn restart_nodes(&mut self, over: Duration) {
        let count = self.nodes.len() as u32;
        for node in 0..count {
            self.schedule(self.now + over / count * node, node as usize, Due::Restart);
        }
    }

    /// Plays the events of that time.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some((at, scheduled)) = self.schedule.next_until(end) {
            self.now = at;
            self.play(scheduled);
        }
        self.now = end;
    }

    fn add_endpoint(&mut self, entry: EndpointEntry) {
        self.endpoints
            .insert(entry.id, SimulatedEndpoint::new(entry, self.now));
    }

    /// Schedules something for the present run of a node.
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
            Due::AttemptEnd(end) => self.end_attempt(node, end),
            Due::HealthCheckEnd { endpoint, started } => {
                self.end_health_check(node, endpoint, started);
            }
            Due::ListFailed => self.deliver_list_failure(node),
            Due::ListSnapshot => self.deliver_snapshot(node),
            Due::ClientDisconnect { id } => self.deliver(node, Event::ClientDisconnected { id }),
        }
    }
}
