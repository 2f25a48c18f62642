//! Chance: varied requests, and the faults of endpoints, discovery and clients. The order of the
//! draws is part of what a seed stands for.

use super::FleetSimulation;
use super::schedule::Due;
use ottertiller_balancer::{EndpointId, Event, HealthCheckEnd, NewRequest, Outcome, RequestId};
use rand_pcg::rand_core::RngCore;
use std::time::Duration;

/// What goes wrong with an attempt, and how long after its start.
pub struct AttemptFault {
    pub after: Duration,
    pub outcome: Outcome,
}

impl FleetSimulation {
    /// A draw from the uniform distribution between 0 and 1.
    fn draw_uniform(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / 2f64.powi(32)
    }

    /// A draw from the exponential distribution of mean 1.
    pub(super) fn draw_exponential(&mut self) -> f64 {
        -(1.0 - self.draw_uniform()).ln()
    }

    /// Makes a request one of any class and tenant, perhaps a client's retry, perhaps with a hint
    /// of its cost.
    pub(super) fn vary_request(&mut self, request: &mut NewRequest) {
        request.class = (self.draw_uniform() * self.settings.classes.len() as f64) as usize;
        request.tenant = (self.draw_uniform() * self.settings.tenants.len() as f64) as usize;
        request.client_retry = self.draw_uniform() < 0.2;
        let part = if request.client_retry {
            0.2 + self.draw_uniform() * 0.8
        } else {
            1.0
        };
        request.remaining = self.settings.classes[request.class].deadline.mul_f64(part);
        let cost = Duration::from_secs_f64(self.draw_exponential() / self.capacity);
        request.cost_hint = (self.draw_uniform() < 0.7).then_some(cost);
    }

    /// Has some clients disconnect within a tenth of a second.
    pub(super) fn maybe_disconnect(&mut self, node: usize, id: RequestId) {
        if self.draw_uniform() < 0.05 {
            let after = Duration::from_secs_f64(self.draw_uniform() / 10.0);
            self.schedule(self.now + after, node, Due::ClientDisconnect { id });
        }
    }

    pub(super) fn draw_attempt_fault(&mut self, to: EndpointId) -> Option<AttemptFault> {
        if !self.faults {
            return None;
        }
        let soon = Duration::from_secs_f64(0.001 + self.draw_uniform() / 200.0);
        let chance = self.draw_uniform();
        let (after, outcome) = match to.0 % 9 {
            3 if chance < 0.6 => (soon, Outcome::Error),
            7 if chance < 0.5 => (Duration::from_secs(60), Outcome::Reset),
            _ if chance < 0.01 => (soon, Outcome::Reset),
            _ if chance < 0.02 => (soon, Outcome::ConnectFailed),
            _ if chance < 0.05 => (soon, Outcome::Rejected),
            _ => return None,
        };
        Some(AttemptFault { after, outcome })
    }

    /// What a call for the endpoint list comes to.
    pub(super) fn draw_list_outcome(&mut self) -> Due {
        if self.draw_uniform() < 0.3 {
            Due::ListFailed
        } else {
            Due::ListSnapshot
        }
    }

    pub(super) fn end_health_check(
        &mut self,
        node: usize,
        endpoint: EndpointId,
        started: Duration,
    ) {
        let elapsed = self.now - started;
        let outcome = if self.draw_uniform() < 0.05 {
            Outcome::TimedOut
        } else {
            Outcome::Served
        };
        let report = (outcome == Outcome::Served).then(|| self.load_report(endpoint));
        self.deliver(
            node,
            Event::HealthCheckEnded(HealthCheckEnd {
                endpoint,
                outcome,
                elapsed,
                report,
            }),
        );
    }
}
