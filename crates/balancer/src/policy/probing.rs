//! Probes: which requests are worth them, whom they go to, and what they tell.

use super::SMOOTH;
use crate::pending_request::PendingRequest;
use crate::state::Server;
use crate::*;
use std::time::Duration;

/// So many servers are probed for a request: the better of two is nearly as good as the best of all.
const PROBES: u32 = 2;

impl Balancer {
    pub(super) fn probes_tell(&self) -> bool {
        self.settings.load_reports == LoadReportSource::HealthChecks && self.settings.limits.health_checks
    }

    /// The load that a probe told of lately, with own sends since.
    pub(super) fn fresh_load(&self, endpoint: &Server) -> Option<f64> {
        endpoint.load.filter(|&(_, at)| self.probes_tell() && self.fresh(at)).map(|(load, _)| load)
    }

    /// A queue turns over within about one answer time; then news of it is old.
    pub(super) fn fresh(&self, at: Duration) -> bool {
        (self.now - at).as_secs_f64() <= self.response_times.mean / 4.0
    }

    /// Whether probes for this request bring more than they cost, both in worths of the usual request. Sent
    /// blind, it meets a busy server as often as there are such, and is late the likelier for it the more of
    /// its time its own work takes. Probes spare it that, or half of it where all of them find busy servers.
    pub(super) fn worth_probing(&self, request: &PendingRequest) -> bool {
        let busy = self.busy.max(SMOOTH);
        let work = request.relative_work
            * if self.declared_work.mean > 0.0 {
                self.declared_work.mean
            } else {
                self.response_times.median
            };
        let left = (request.deadline.saturating_sub(self.now)).as_secs_f64().max(1e-6);
        let stake = request.priority * if self.settings.weight_by_work { request.relative_work } else { 1.0 };
        // Where both are busy, the less busy one spares it half.
        let found = 1.0 - busy.powi(PROBES as i32) / 2.0;
        stake * busy * (work / left).min(1.0) * found >= f64::from(PROBES) * self.settings.prices.health_check
    }

    /// Probes a few of the servers at the cap, and holds the request meanwhile.
    pub(super) fn probe(
        &mut self,
        id: RequestId,
        mut targets: Vec<EndpointId>,
        actions: &mut Vec<Action>,
    ) -> bool {
        for _ in 0..PROBES {
            let draw = (self.random.unit() * targets.len() as f64) as usize;
            let Some(target) = targets.get(draw).copied() else { break };
            targets.retain(|t| *t != target);
            self.endpoints.entry(target).and_modify(|s| s.probing = true);
            self.probes_out += 1;
            actions.push(Action::HealthCheck { endpoint: target });
        }
        if self.probes_out == 0 {
            return false;
        }
        self.held.push(id);
        // A server that answers a probe later than this is no place to send to.
        let patience = Duration::from_secs_f64(self.response_times.mean / 16.0).max(4 * self.settings.tick);
        actions.push(Action::SetTimer { after: patience, token: id.0 });
        true
    }

    pub(super) fn on_probed(&mut self, end: HealthCheckEnd, actions: &mut Vec<Action>) {
        self.endpoints.entry(end.endpoint).and_modify(|s| (s.probing, s.load) = (false, None));
        self.on_report(end.endpoint, end.report, end.outcome == Outcome::Served);
        if end.outcome == Outcome::ConnectFailed {
            self.judge(end.endpoint, 1.0, 1.0);
        }
        self.probes_out = self.probes_out.saturating_sub(1);
        let last = self.probes_out == 0;
        for id in self.held.clone() {
            self.held.retain(|held| !last || *held != id);
            self.dispatch(id, actions);
        }
    }
}
