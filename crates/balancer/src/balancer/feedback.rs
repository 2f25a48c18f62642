//! Records the results of attempts and health checks.

use super::Balancer;
use crate::endpoints::{HealthSignal, ReportedLoad, reported_load};
use crate::health::observation::{ClassContext, Observation};
use crate::health::outlier_ejection;
use crate::requests::Attempt;
use crate::routing::subset::NEIGHBORHOOD_FACTOR;
use crate::{Action, AttemptEnd, EndpointId, HealthCheckEnd, LoadReport, Outcome, RequestId};

impl Balancer {
    /// Records an attempt that has started.
    pub(super) fn record_attempt(&mut self, id: RequestId, attempt: Attempt) {
        if let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint.id) {
            endpoint.in_flight += 1;
            endpoint.permit.consume();
            if let Some(load) = &mut endpoint.reported_load {
                load.add_send();
            }
            self.join_up_to.record_send(endpoint);
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.add_attempt(attempt);
        }
        self.subset.record_send(self.now);
        self.queued.remove(id);
    }

    /// Updates the estimates and the state of the endpoint with the result of an attempt.
    pub(super) fn record_attempt_end(&mut self, end: &AttemptEnd) {
        let Some(request) = self.requests.get(&end.id) else {
            return;
        };
        let Some(attempt) = request.attempts.get(end.attempt as usize) else {
            return;
        };
        let context = ClassContext {
            class: &self.settings.classes[request.class],
            mean_response_time: self.response_times.class_mean(request.class),
        };
        let observation = Observation::new(request, attempt, end, &context, self.now);
        let load_level = attempt.load_level;
        let served = end.outcome == Outcome::Served;
        if served {
            self.response_times
                .record(request.class, request.relative_work, end.elapsed);
        }
        if let Some(endpoint) = self.endpoints.get_mut(end.endpoint) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
            if served {
                self.slow_start
                    .record_served(endpoint, request.relative_work, self.now);
            }
        }
        self.record_report(end.endpoint, end.report, served);
        if let Some(signal) = observation.health() {
            self.record_health(end.endpoint, signal);
        }
        if let Some(timeliness) = observation.timeliness() {
            self.admission.record(timeliness, load_level);
        }
    }

    /// Records the result of a health check, and routes the queued requests again. If no other
    /// health check is in flight, they leave the queue first, so that each is sent, gets further
    /// health checks or is rejected.
    pub(super) fn on_health_check_ended(&mut self, end: HealthCheckEnd, actions: &mut Vec<Action>) {
        if let Some(endpoint) = self.endpoints.get_mut(end.endpoint) {
            endpoint.check_in_flight = false;
            endpoint.reported_load = None;
        }
        self.record_report(end.endpoint, end.report, end.outcome == Outcome::Served);
        if end.outcome == Outcome::ConnectFailed {
            self.record_health(end.endpoint, HealthSignal::Unreachable);
        }
        let was_last_in_flight = self.active_checks.record_end();
        for id in self.queued.ids().to_vec() {
            if was_last_in_flight {
                self.queued.remove(id);
            }
            self.route(id, actions);
        }
    }

    /// Records the load in a report, if there is one.
    fn record_report(&mut self, id: EndpointId, report: Option<LoadReport>, served: bool) {
        let Some(load) = report.as_ref().and_then(reported_load) else {
            return;
        };
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        endpoint.reported_load = Some(ReportedLoad::new(load, self.now));
        self.join_up_to
            .record_report(endpoint, load, served, self.now);
    }

    /// Records a health signal of an endpoint, and ejects the endpoint if that follows from it.
    fn record_health(&mut self, id: EndpointId, signal: HealthSignal) {
        let neighborhood_size = NEIGHBORHOOD_FACTOR * self.subset_size();
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        let advice = self.outliers.record(endpoint, signal);
        if !outlier_ejection::should_eject(advice, &self.endpoints, neighborhood_size) {
            return;
        }
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            self.outliers.eject(endpoint, self.now);
        }
    }
}
