//! Random requests, and random faults of endpoints, discovery and clients. A seed reproduces the
//! same events only while the order of the random draws stays the same.

use super::FleetSimulation;
use super::schedule::NodeEvent;
use ottertiller_balancer::{EndpointId, Event, HealthCheckEnd, NewRequest, Outcome, RequestId};
use rand_pcg::rand_core::RngCore;
use std::time::Duration;

/// The fraction of requests that are marked as client retries.
const CLIENT_RETRY_SHARE: f64 = 0.2;
/// The fraction of requests with a cost hint.
const COST_HINT_SHARE: f64 = 0.7;
/// The fraction of requests whose client disconnects within 100 ms.
const DISCONNECT_SHARE: f64 = 0.05;
/// The fraction of calls to discovery that fail.
const LIST_FAILURE_SHARE: f64 = 0.3;
/// The fraction of health checks that time out.
const HEALTH_CHECK_TIMEOUT_SHARE: f64 = 0.05;
/// Endpoints whose number has this remainder when divided by [`FAULT_PERIOD`] often return errors.
const FAILING_REMAINDER: u64 = 3;
/// Endpoints whose number has this remainder when divided by [`FAULT_PERIOD`] often send no
/// response.
const UNRESPONSIVE_REMAINDER: u64 = 7;
const FAULT_PERIOD: u64 = 9;
/// A time longer than any deadline, so that the attempt times out first.
const AFTER_ANY_DEADLINE: Duration = Duration::from_secs(60);

/// A fault of an attempt.
pub(super) struct AttemptFault {
    /// The time from the start of the attempt to the fault.
    pub(super) after: Duration,
    pub(super) outcome: Outcome,
}

impl FleetSimulation {
    /// Draws from the uniform distribution over 0 to 1.
    fn draw_uniform(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / 2f64.powi(32)
    }

    /// Draws from the exponential distribution with mean 1.
    pub(super) fn draw_exponential(&mut self) -> f64 {
        -(1.0 - self.draw_uniform()).ln()
    }

    /// Sets a random class and tenant. Marks some requests as client retries, and gives some a cost
    /// hint.
    pub(super) fn randomize_request(&mut self, request: &mut NewRequest) {
        request.class = (self.draw_uniform() * self.settings.classes.len() as f64) as usize;
        request.tenant = (self.draw_uniform() * self.settings.tenants.len() as f64) as usize;
        request.client_retry = self.draw_uniform() < CLIENT_RETRY_SHARE;
        let remaining_fraction = if request.client_retry {
            0.2 + self.draw_uniform() * 0.8
        } else {
            1.0
        };
        request.remaining = self.settings.classes[request.class]
            .deadline
            .mul_f64(remaining_fraction);
        let cost = Duration::from_secs_f64(self.draw_exponential() / self.capacity);
        request.cost_hint = (self.draw_uniform() < COST_HINT_SHARE).then_some(cost);
    }

    /// Schedules, for some requests, the disconnect of the client within 100 ms.
    pub(super) fn maybe_schedule_disconnect(&mut self, node: usize, id: RequestId) {
        if self.draw_uniform() < DISCONNECT_SHARE {
            let after = Duration::from_secs_f64(self.draw_uniform() / 10.0);
            self.schedule(self.now + after, node, NodeEvent::ClientDisconnect { id });
        }
    }

    /// Draws the fault of an attempt at an endpoint; `None` for no fault.
    pub(super) fn draw_attempt_fault(&mut self, to: EndpointId) -> Option<AttemptFault> {
        if !self.faults {
            return None;
        }
        let soon = Duration::from_secs_f64(0.001 + self.draw_uniform() / 200.0);
        let chance = self.draw_uniform();
        let (after, outcome) = match to.0 % FAULT_PERIOD {
            FAILING_REMAINDER if chance < 0.6 => (soon, Outcome::Error),
            UNRESPONSIVE_REMAINDER if chance < 0.5 => (AFTER_ANY_DEADLINE, Outcome::Reset),
            _ if chance < 0.01 => (soon, Outcome::Reset),
            _ if chance < 0.02 => (soon, Outcome::ConnectFailed),
            _ if chance < 0.05 => (soon, Outcome::Rejected),
            _ => return None,
        };
        Some(AttemptFault { after, outcome })
    }

    /// Draws the result of a call to discovery.
    pub(super) fn draw_list_outcome(&mut self) -> NodeEvent {
        if self.draw_uniform() < LIST_FAILURE_SHARE {
            NodeEvent::ListFailed
        } else {
            NodeEvent::ListSnapshot
        }
    }

    /// Ends a health check. Some health checks time out.
    pub(super) fn end_health_check(
        &mut self,
        node: usize,
        endpoint: EndpointId,
        started: Duration,
    ) {
        let elapsed = self.now - started;
        let outcome = if self.draw_uniform() < HEALTH_CHECK_TIMEOUT_SHARE {
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
