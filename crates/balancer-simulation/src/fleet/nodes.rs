//! The nodes of a fleet: starts and restarts, the delivery of events, and the execution of actions.

use super::attempts::Attempt;
use super::schedule::{NodeEvent, ScheduledAttemptEnd};
use super::{FleetSimulation, HEALTH_CHECK_DELAY, LIST_DELAY};
use crate::virtual_time::MIN_TIMER_DELAY;
use ottertiller_balancer::{
    Action, Balancer, EndpointEntry, Event, ListKind, NewRequest, Outcome, RequestId, Settings,
};
use rand_pcg::rand_core::RngCore;
use std::collections::BTreeMap;
use std::time::Duration;

/// One node in this many gets [`BUSY_NODE_WEIGHT`] times the requests of the others.
const BUSY_NODE_INTERVAL: u32 = 10;
const BUSY_NODE_WEIGHT: f64 = 4.0;

pub(super) struct SimulatedNode {
    pub(super) balancer: Balancer,
    /// The number of restarts. Events that were scheduled in an earlier incarnation are discarded.
    pub(super) incarnation: u32,
    pub(super) attempts: BTreeMap<RequestId, Vec<Attempt>>,
    /// The rate of requests that it gets, per second.
    pub(super) rate: f64,
}

impl FleetSimulation {
    /// Starts nodes that get `rate` requests per second in total.
    pub(super) fn start_nodes(&mut self, count: u32, rate: f64) {
        let weights: Vec<f64> = (0..count)
            .map(|node| {
                if node % BUSY_NODE_INTERVAL == BUSY_NODE_INTERVAL - 1 {
                    BUSY_NODE_WEIGHT
                } else {
                    1.0
                }
            })
            .collect();
        let total: f64 = weights.iter().sum();
        for (node, weight) in weights.into_iter().enumerate() {
            let balancer = self.start_balancer(node);
            let rate = rate * weight / total;
            self.nodes.push(SimulatedNode {
                balancer,
                incarnation: 0,
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

    /// Restarts a node, which loses its state and receives the endpoint list again.
    pub(super) fn restart(&mut self, node: usize) {
        let balancer = self.start_balancer(node);
        let restarted = &mut self.nodes[node];
        restarted.balancer = balancer;
        restarted.incarnation += 1;
        // The endpoints still do the work of these attempts, but the scheduled ends are discarded:
        // the node does not learn the outcomes, and the requests do not count as served.
        restarted.attempts.clear();
        self.deliver_snapshot(node);
    }

    /// Sends a request to a node.
    pub(super) fn request(&mut self, node: usize) {
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
            self.randomize_request(&mut request);
        }
        self.deliver(node, Event::Request(request));
        if self.faults {
            self.maybe_schedule_disconnect(node, id);
        }
    }

    /// Delivers the current endpoint list to a node.
    pub(super) fn deliver_snapshot(&mut self, node: usize) {
        let entries = self
            .endpoints
            .values()
            .map(|endpoint| self.with_wall_clock_start(endpoint.entry))
            .collect();
        self.deliver(
            node,
            Event::EndpointList {
                kind: ListKind::Snapshot,
                entries,
            },
        );
    }

    /// Reports to a node that its call to discovery has failed.
    pub(super) fn deliver_list_failure(&mut self, node: usize) {
        self.deliver(
            node,
            Event::EndpointList {
                kind: ListKind::Failed,
                entries: Vec::new(),
            },
        );
    }

    /// Returns an entry with its start time converted to the wall clock.
    fn with_wall_clock_start(&self, entry: EndpointEntry) -> EndpointEntry {
        let offset = Duration::from_millis(self.wall_clock_offset_ms.unsigned_abs());
        let shift = |started: Duration| match self.wall_clock_offset_ms {
            0.. => started + offset,
            _ => started.saturating_sub(offset),
        };
        EndpointEntry {
            started: entry.started.map(shift),
            ..entry
        }
    }

    /// Delivers an event to a node, and executes the actions that it returns.
    pub(super) fn deliver(&mut self, node: usize, event: Event) {
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
                let at = self.now + after.max(MIN_TIMER_DELAY);
                self.schedule(at, node, NodeEvent::Timer(timer));
            }
            Action::CancelAttempt { id, attempt } => {
                // `started` is the time of the cancellation, so the node is told that the cancelled
                // attempt took no time.
                let end = ScheduledAttemptEnd {
                    id,
                    attempt: attempt as usize,
                    outcome: Outcome::Cancelled,
                    started: self.now,
                };
                self.schedule(self.now, node, NodeEvent::AttemptEnd(end));
            }
            Action::HealthCheck { endpoint } if self.faults => {
                let event = NodeEvent::HealthCheckEnd {
                    endpoint,
                    started: self.now,
                };
                self.schedule(self.now + HEALTH_CHECK_DELAY, node, event);
            }
            Action::Subscribe { enabled: true } if self.faults => {
                let event = self.draw_list_outcome();
                self.schedule(self.now + LIST_DELAY, node, event);
            }
            // The fleet keeps no state of the final responses `Shed` and `Fail`, nor of
            // unsubscribing. Without faults, health checks and subscriptions get no answer.
            _ => {}
        }
    }
}
