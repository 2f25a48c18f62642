//! The attempts of a fleet's requests.

use super::FleetSimulation;
use super::schedule::{NodeEvent, ScheduledAttemptEnd};
use ottertiller_balancer::{
    AttemptEnd, EndpointId, Event, LoadReport, LoadReportSource, Outcome, RequestId,
};
use std::time::Duration;

pub(super) struct Attempt {
    endpoint: EndpointId,
    /// Whether the attempt has ended. A cancelled attempt has two scheduled ends, and the first one
    /// counts.
    ended: bool,
}

impl FleetSimulation {
    /// Starts an attempt, and schedules its end.
    pub(super) fn start_attempt(
        &mut self,
        node: usize,
        id: RequestId,
        to: EndpointId,
        timeout: Duration,
    ) {
        let work = self.draw_exponential();
        let endpoint = self
            .endpoints
            .get_mut(&to)
            .expect("the attempt's endpoint was never added");
        let mut ends_at = endpoint.accept(self.now, work, self.capacity, &self.settings.rules);
        let mut outcome = Outcome::Served;
        let attempts = self.nodes[node].attempts.entry(id).or_default();
        let attempt = attempts.len();
        attempts.push(Attempt {
            endpoint: to,
            ended: false,
        });
        if let Some(fault) = self.draw_attempt_fault(to) {
            (ends_at, outcome) = (self.now + fault.after, fault.outcome);
        }
        let times_out_at = self.now + timeout;
        if ends_at > times_out_at {
            (ends_at, outcome) = (times_out_at, Outcome::TimedOut);
        }
        self.schedule(
            ends_at,
            node,
            NodeEvent::AttemptEnd(ScheduledAttemptEnd {
                id,
                attempt,
                outcome,
                started: self.now,
            }),
        );
    }

    /// Ends an attempt, unless it has ended already.
    pub(super) fn end_attempt(&mut self, node: usize, end: ScheduledAttemptEnd) {
        let ScheduledAttemptEnd {
            id,
            attempt: number,
            outcome,
            started,
        } = end;
        let Some(attempts) = self.nodes[node].attempts.get_mut(&id) else {
            return;
        };
        let attempt = &mut attempts[number];
        if std::mem::replace(&mut attempt.ended, true) {
            return;
        }
        let endpoint = attempt.endpoint;
        let served = outcome == Outcome::Served;
        self.served += usize::from(served);
        self.endpoints
            .get_mut(&endpoint)
            .expect("the attempt's endpoint was never added")
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

    /// Returns the current load report of an endpoint.
    pub(super) fn load_report(&self, endpoint: EndpointId) -> LoadReport {
        self.endpoints[&endpoint].load_report(self.now, self.capacity)
    }
}
