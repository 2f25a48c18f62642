//! The attempts of a fleet's requests.

use super::FleetSimulation;
use super::schedule::{Due, ScheduledAttemptEnd};
use ottertiller_balancer::{
    AttemptEnd, EndpointId, Event, LoadReport, LoadReportSource, Outcome, RequestId,
};
use std::time::Duration;

pub(super) struct Attempt {
    endpoint: EndpointId,
    /// Whether it has ended: an attempt that was cancelled ends only once.
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
            .expect("an endpoint that is listed");
        let mut ends = endpoint.accept(self.now, work, self.capacity, &self.settings.rules);
        let mut outcome = Outcome::Served;
        let attempts = self.nodes[node].attempts.entry(id).or_default();
        let attempt = attempts.len();
        attempts.push(Attempt {
            endpoint: to,
            ended: false,
        });
        if let Some(fault) = self.draw_attempt_fault(to) {
            (ends, outcome) = (self.now + fault.after, fault.outcome);
        }
        let times_out = self.now + timeout;
        if ends > times_out {
            (ends, outcome) = (times_out, Outcome::TimedOut);
        }
        self.schedule(
            ends,
            node,
            Due::AttemptEnd(ScheduledAttemptEnd {
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
            .expect("an endpoint")
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

    /// Returns what an endpoint reports of its load.
    pub(super) fn load_report(&self, endpoint: EndpointId) -> LoadReport {
        self.endpoints[&endpoint].load_report(self.now, self.capacity)
    }
}
