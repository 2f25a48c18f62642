//! The health checks that the node sends, and their results.

use super::NodeSimulation;
use crate::fixtures::in_flight_report;
use ottertiller_balancer::{EndpointId, Event, HealthCheckEnd, Outcome};
use std::time::Duration;

/// The time after which a health check times out.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// The requests in flight that an idle endpoint reports.
const IDLE_LOAD: f32 = 0.0;
/// The requests in flight that a busy endpoint reports.
const BUSY_LOAD: f32 = 2.0;

/// A health check that has not ended.
pub(super) struct PendingHealthCheck {
    endpoint: EndpointId,
    started: Duration,
}

impl NodeSimulation {
    /// Ends the oldest pending health check, and returns its endpoint; `None` if none is pending.
    /// The endpoint reports `in_flight` requests in flight. If `in_flight` is `None`, the health
    /// check times out.
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
        self.deliver(Event::HealthCheckEnded(HealthCheckEnd {
            endpoint,
            outcome,
            elapsed: self.now - started,
            report: in_flight.map(in_flight_report),
        }));
        Some(endpoint)
    }

    /// Ends all pending health checks, including those that start meanwhile. The endpoints in
    /// `idle_endpoints` report that they are idle, all others that they are busy.
    pub fn end_health_checks(&mut self, idle_endpoints: &[u64]) {
        while let Some(check) = self.health_checks.first() {
            let is_idle = idle_endpoints.contains(&check.endpoint.0);
            self.end_health_check(Some(if is_idle { IDLE_LOAD } else { BUSY_LOAD }));
        }
    }

    pub(super) fn start_health_check(&mut self, endpoint: EndpointId) {
        let started = self.now;
        self.health_checks
            .push(PendingHealthCheck { endpoint, started });
    }

    pub(super) fn time_out_health_checks(&mut self) {
        while self
            .health_checks
            .first()
            .is_some_and(|check| self.now >= check.started + HEALTH_CHECK_TIMEOUT)
        {
            self.end_health_check(None);
        }
    }
}
