//! Random requests, and random faults of endpoints, discovery and clients. A seed gives the same
//! history only as long as the order of the draws stays the same.

use super::FleetSimulation;
use super::schedule::Due;
use ottertiller_balancer::{EndpointId, Event, HealthCheckEnd, NewRequest, Outcome, RequestId};
use rand_pcg::rand_core::RngCore;
use std::time::Duration;

/// The fraction of requests that are retries of a client.
const CLIENT_RETRY_SHARE: f64 = 0.2;
/// The fraction of requests with a cost hint.
const COST_HINT_SHARE: f64 = 0.7;
/// The fraction of requests whose client disconnects soon.
const DISCONNECT_SHARE: f64 = 0.05;
/// The fraction of calls for the endpoint list that fail.
const LIST_FAILURE_SHARE: f64 = 0.3;
/// The fraction of health checks that time out.
const HEALTH_CHECK_TIMEOUT_SHARE: f64 = 0.05;
/// The endpoints whose number has this remainder when divided by [`FAULT_PERIOD`] return errors.
const FAILING_REMAINDER: u64 = 3;
/// The endpoints whose number has this remainder when divided by [`FAULT_PERIOD`] leave requests
/// without a response.
const SILENT_REMAINDER: u64 = 7;
const FAULT_PERIOD: u64 = 9;
/// A time longer than any deadline.
const NEVER: Duration = Duration::from_secs(60);

/// A fault of an attempt.
pub(super) struct AttemptFault {
    /// The time from its start to the fault.
    pub(super) after: Duration,
    pub(super) outcome: Outcome,
}

impl FleetSimulation {
    /// Draws from the uniform distribution between 0 and 1.
    fn draw_uniform(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / 2f64.powi(32)
    }

    /// Draws from the exponential distribution of mean 1.
    pub(super) fn draw_exponential(&mut self) -> f64 {
        -(1.0 - self.draw_uniform()).ln()
    }

    /// Gives a request a random class and tenant, and makes some of them retries of a client or
    /// gives them a cost hint.
    pub(super) fn vary_request(&mut self, request: &mut NewRequest) {
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

    /// Schedules the disconnect of some clients, within a tenth of a second.
    pub(super) fn maybe_disconnect(&mut self, node: usize, id: RequestId) {
        if self.draw_uniform() < DISCONNECT_SHARE {
            let after = Duration::from_secs_f64(self.draw_uniform() / 10.0);
            self.schedule(self.now + after, node, Due::ClientDisconnect { id });
        }
    }

    /// Draws the fault of an attempt at an endpoint; `None` if it has none.
    pub(super) fn draw_attempt_fault(&mut self, to: EndpointId) -> Option<AttemptFault> {
        if !self.faults {
            return None;
        }
        let soon = Duration::from_secs_f64(0.001 + self.draw_uniform() / 200.0);
        let chance = self.draw_uniform();
        let (after, outcome) = match to.0 % FAULT_PERIOD {
            FAILING_REMAINDER if chance < 0.6 => (soon, Outcome::Error),
            SILENT_REMAINDER if chance < 0.5 => (NEVER, Outcome::Reset),
            _ if chance < 0.01 => (soon, Outcome::Reset),
            _ if chance < 0.02 => (soon, Outcome::ConnectFailed),
            _ if chance < 0.05 => (soon, Outcome::Rejected),
            _ => return None,
        };
        Some(AttemptFault { after, outcome })
    }

    /// Draws the result of a call for the endpoint list.
    pub(super) fn draw_list_outcome(&mut self) -> Due {
        if self.draw_uniform() < LIST_FAILURE_SHARE {
            Due::ListFailed
        } else {
            Due::ListSnapshot
        }
    }

    /// Ends a health check. Some have timed out.
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
