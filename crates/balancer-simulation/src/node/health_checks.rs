//! The health checks of the node, and their results.

use super::NodeSimulation;
use crate::fixtures::in_flight_report;
use ottertiller_balancer::{EndpointId, Event, HealthCheckEnd, Outcome};
use std::time::Duration;

/// The time after which a health check times out.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// The requests in flight that an idle and a busy endpoint report.
const IDLE: f32 = 0.0;
const BUSY: f32 = 2.0;

/// A health check without a result so far.
pub(super) struct PendingHealthCheck {
    endpoint: EndpointId,
    started: Duration,
}

impl NodeSimulation {
    /// Ends the oldest pending health check, and returns its endpoint; `None` if none is pending.
    /// The endpoint reports `in_flight` requests in flight; without a report the health check has
    /// timed out.
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

    /// Ends all pending health checks, also those that start meanwhile: the endpoints named `idle`
    /// report idle, the others busy.
    pub fn end_health_checks(&mut self, idle: &[u64]) {
        while let Some(check) = self.health_checks.first() {
            let is_idle = idle.contains(&check.endpoint.0);
            self.end_health_check(Some(if is_idle { IDLE } else { BUSY }));
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
