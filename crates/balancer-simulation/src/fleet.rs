//! A simulation of many nodes that send to the same endpoints. Their balancers share no state.
//! Events are processed in the order of their time, and all random numbers are drawn from one
//! seeded generator.

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
use schedule::{NodeEvent, Schedule, ScheduledEvent};
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

/// The duration of a call to discovery.
const LIST_DELAY: Duration = Duration::from_millis(20);
/// The duration of a health check.
const HEALTH_CHECK_DELAY: Duration = Duration::from_millis(1);

/// The parameters of a fleet simulation.
pub struct FleetConfig<'a> {
    /// The settings of all nodes. The simulation sets the node count and the node indexes.
    pub settings: &'a Settings,
    /// The number of nodes.
    pub nodes: u32,
    /// The number of endpoints. All of them started long ago.
    pub endpoints: u64,
    /// The capacity of a warm endpoint, in requests per second.
    pub capacity: f64,
    /// The total rate of requests per second. Some nodes get several times the mean.
    pub rate: f64,
    /// The seed of all random numbers.
    pub seed: u64,
    /// Whether endpoints, discovery and clients have faults. If so, requests belong to all classes
    /// and tenants, and health checks and subscriptions to the endpoint list are answered.
    /// Otherwise, every request has class 0 and tenant 0, and health checks and subscriptions get
    /// no answer.
    pub faults: bool,
}

/// A simulation of a fleet.
pub struct FleetSimulation {
    /// The current virtual time.
    pub now: Duration,
    settings: Settings,
    capacity: f64,
    nodes: Vec<SimulatedNode>,
    /// All endpoints, including draining ones.
    pub endpoints: BTreeMap<EndpointId, SimulatedEndpoint>,
    schedule: Schedule,
    rng: Pcg32,
    /// The number of requests sent so far.
    pub requests: usize,
    /// The number of requests served so far.
    pub served: usize,
    /// The value of [`FleetConfig::faults`]; `false` until all nodes have their first list.
    faults: bool,
    /// The milliseconds by which the wall clock is ahead of the nodes' own clocks. It is added to
    /// the start times in every endpoint list, which are wall clock times.
    pub wall_clock_offset_ms: i64,
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
            wall_clock_offset_ms: 0,
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
        // Faults start only after all nodes have received their first list. Until then, health
        // checks and subscriptions get no answer either.
        fleet.faults = config.faults;
        fleet
    }

    /// Returns the number of all actions so far and their digest.
    pub fn recorded_actions(&self) -> RecordedActions {
        self.digest.recorded_actions()
    }

    /// Returns the highest number of requests by which all nodes together exceeded the limit of an
    /// endpoint in slow start. It is at most 0 if no limit was exceeded.
    pub fn max_limit_excess(&self) -> f64 {
        self.endpoints
            .values()
            .map(|endpoint| endpoint.max_limit_excess)
            .fold(f64::MIN, f64::max)
    }

    /// Adds the endpoints `added`, which start now, sets the endpoints `drained` to draining, and
    /// delivers the new list to all nodes. Draining endpoints stay listed.
    ///
    /// # Panics
    ///
    /// Panics if an endpoint to be drained was never added.
    pub fn replace_endpoints(&mut self, drained: Range<u64>, added: Range<u64>) {
        for id in added {
            self.add_endpoint(started_entry(id, self.now));
        }
        for id in drained {
            let endpoint = self
                .endpoints
                .get_mut(&EndpointId(id))
                .expect("the endpoint to drain was never added");
            endpoint.entry.state = EndpointState::Draining;
        }
        for node in 0..self.nodes.len() {
            self.deliver_snapshot(node);
        }
    }

    /// Schedules a restart of each node, one after the other, spread evenly over the time `over`.
    pub fn restart_nodes(&mut self, over: Duration) {
        let count = self.nodes.len() as u32;
        for node in 0..count {
            self.schedule(
                self.now + over / count * node,
                node as usize,
                NodeEvent::Restart,
            );
        }
    }

    /// Advances the virtual time, and processes the events that are due.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some((at, scheduled)) = self.schedule.next_until(end) {
            self.now = at;
            self.process(scheduled);
        }
        self.now = end;
    }

    fn add_endpoint(&mut self, entry: EndpointEntry) {
        self.endpoints
            .insert(entry.id, SimulatedEndpoint::new(entry, self.now));
    }

    /// Schedules an event for a node. Unless it is an arrival or a restart, it is discarded if the
    /// node restarts first.
    fn schedule(&mut self, at: Duration, node: usize, event: NodeEvent) {
        let incarnation = self.nodes[node].incarnation;
        let scheduled = ScheduledEvent {
            node,
            incarnation,
            event,
        };
        self.schedule.add(at, scheduled);
    }

    fn schedule_arrival(&mut self, node: usize) {
        let after = Duration::from_secs_f64(self.draw_exponential() / self.nodes[node].rate);
        self.schedule(self.now + after, node, NodeEvent::RequestArrival);
    }

    fn process(&mut self, scheduled: ScheduledEvent) {
        let ScheduledEvent {
            node,
            incarnation,
            event,
        } = scheduled;
        match event {
            NodeEvent::RequestArrival => {
                self.schedule_arrival(node);
                self.request(node);
            }
            NodeEvent::Restart => self.restart(node),
            _ if incarnation != self.nodes[node].incarnation => {}
            NodeEvent::Timer(timer) => self.deliver(node, Event::Timer(timer)),
            NodeEvent::AttemptEnd(end) => self.end_attempt(node, end),
            NodeEvent::HealthCheckEnd { endpoint, started } => {
                self.end_health_check(node, endpoint, started);
            }
            NodeEvent::ListFailed => self.deliver_list_failure(node),
            NodeEvent::ListSnapshot => self.deliver_snapshot(node),
            NodeEvent::ClientDisconnect { id } => {
                self.deliver(node, Event::ClientDisconnected { id });
            }
        }
    }
}
