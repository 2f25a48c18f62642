//! Where a request goes: [`Balancer::decide_route`] decides, and [`Balancer::start_attempt`] sends.
//!
//! The rules say which endpoints are eligible; nothing relaxes them. Outlier ejection leaves the
//! healthy ones, or all if none is. Admission control leaves those likely to respond in time, and
//! of these the ones not loaded above average. Among them Join-Up-To(m) picks. If all have reached
//! m, health checks may find an idle one; else it is one at random.

use super::Balancer;
use crate::admission::{AdmissionRequest, load_level};
use crate::endpoints::Endpoint;
use crate::estimates::load_snapshot::LoadSnapshot;
use crate::health::outlier_ejection;
use crate::requests::{Attempt, PendingRequest};
use crate::retry::hedging::{AttemptPlan, RetryAllowance};
use crate::retry::idempotency;
use crate::routing::join_up_to;
use crate::{Action, EndpointId, RequestId, Timer};

/// The fraction of the mean response time after which a request without an eligible endpoint is
/// routed again.
const WAIT_IN_RESPONSES: f64 = 1.0 / 8.0;

/// The random draws of one decision, each from 0 up to but not including 1.
struct Draws {
    /// Decides on admission and on probes of ejected endpoints.
    admission: f64,
    /// Picks among equals.
    pick: f64,
}

/// What to do with a request that waits for its first or a further attempt.
enum RoutingDecision {
    /// Nothing: it is closed, queued for health checks, or has an attempt in flight that may be
    /// served.
    Wait,
    /// Route it again later. No endpoint is eligible: none is listed, or all that are have just
    /// started and have no permit.
    WaitForEndpoint,
    /// Send it to this endpoint.
    Send(EndpointId),
    /// Ask endpoints of unknown load for theirs; if that cannot be done, send it to `otherwise`.
    CheckLoads {
        unknown: Vec<EndpointId>,
        otherwise: Option<EndpointId>,
    },
    /// Reject it: no attempt may follow, or no endpoint is likely to respond in time.
    Reject,
}

impl Balancer {
    /// Decides where a request goes, and carries the decision out.
    pub(super) fn route(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let draws = Draws {
            admission: self.random.uniform(),
            pick: self.random.uniform(),
        };
        let subset_size = self.subset_size();
        self.slow_start
            .draw_permits(&mut self.endpoints, subset_size, self.now, &mut self.random);
        match self.decide_route(id, subset_size, &draws) {
            RoutingDecision::Wait => {}
            RoutingDecision::WaitForEndpoint => self.wait_for_endpoint(id, actions),
            RoutingDecision::Send(endpoint) => self.start_attempt(id, endpoint, actions),
            RoutingDecision::CheckLoads { unknown, otherwise } => {
                self.check_loads(id, unknown, otherwise, actions);
            }
            RoutingDecision::Reject => self.reject(id, actions),
        }
    }

    fn decide_route(&self, id: RequestId, subset_size: usize, draws: &Draws) -> RoutingDecision {
        let Some(request) = self.requests.get(&id) else {
            return RoutingDecision::Wait;
        };
        if request.stage.is_closed() || !self.allows_parallel_attempt(request) {
            return RoutingDecision::Wait;
        }
        let is_retry = request.has_attempts();
        if self.now >= request.deadline || is_retry && !self.retry_budget.allows_retry() {
            return RoutingDecision::Reject;
        }
        let eligible: Vec<&Endpoint> = self
            .endpoints
            .ring()
            .filter(|endpoint| self.is_eligible(endpoint, request))
            .take(subset_size)
            .collect();
        match (eligible.is_empty(), is_retry) {
            (true, true) => RoutingDecision::Reject,
            (true, false) => RoutingDecision::WaitForEndpoint,
            (false, _) => self.choose_endpoint(id, request, eligible, draws),
        }
    }

    fn choose_endpoint(
        &self,
        id: RequestId,
        request: &PendingRequest,
        eligible: Vec<&Endpoint>,
        draws: &Draws,
    ) -> RoutingDecision {
        let loads = self.load_snapshot();
        let may_probe = !request.has_attempts()
            && outlier_ejection::may_probe(request.idempotency, draws.admission);
        let healthy = outlier_ejection::candidates(eligible, may_probe, self.now);
        let admission_request = AdmissionRequest {
            priority: request.priority,
            draw: draws.admission,
        };
        let admitting: Vec<&Endpoint> = healthy
            .iter()
            .copied()
            .filter(|endpoint| self.admission.admits(endpoint, &loads, &admission_request))
            .collect();
        let preferred = not_above_average_load(admitting, &loads);
        if let Some(endpoint) = self
            .join_up_to
            .lowest_below_cap(&preferred, &loads, draws.pick)
        {
            return RoutingDecision::Send(endpoint);
        }
        if self.queued.contains(id) {
            return RoutingDecision::Wait;
        }
        let at_random = join_up_to::pick_at_random(&preferred, draws.pick);
        if self.health_checks_are_worth_it(request) {
            return RoutingDecision::CheckLoads {
                unknown: of_unknown_load(&healthy, &loads),
                otherwise: at_random,
            };
        }
        at_random.map_or(RoutingDecision::Reject, RoutingDecision::Send)
    }

    fn health_checks_are_worth_it(&self, request: &PendingRequest) -> bool {
        let mean_work = self
            .declared_work
            .mean()
            .unwrap_or(self.response_times.median());
        let busy_share = self.join_up_to.busy_share();
        request.stage.may_check_health()
            && self
                .active_checks
                .are_worth_it(request, busy_share, mean_work, self.now)
    }

    fn wait_for_endpoint(&self, id: RequestId, actions: &mut Vec<Action>) {
        let wait = self.response_times.mean() * WAIT_IN_RESPONSES;
        actions.push(Action::SetTimer {
            after: wait.to_duration().max(self.settings.tick),
            timer: Timer::Request(id),
        });
    }

    fn check_loads(
        &mut self,
        id: RequestId,
        unknown: Vec<EndpointId>,
        otherwise: Option<EndpointId>,
        actions: &mut Vec<Action>,
    ) {
        if self
            .active_checks
            .start(unknown, &mut self.endpoints, &mut self.random, actions)
        {
            return self.queue_for_health_checks(id, actions);
        }
        match otherwise {
            Some(endpoint) => self.start_attempt(id, endpoint, actions),
            None => self.reject(id, actions),
        }
    }

    fn queue_for_health_checks(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.queued.enqueue(id);
        actions.push(Action::SetTimer {
            after: self
                .active_checks
                .max_queue_time(self.response_times.mean()),
            timer: Timer::Request(id),
        });
    }

    /// Starts an attempt, the only place that does. Every rule is checked here, whatever led to it.
    fn start_attempt(&mut self, id: RequestId, to: EndpointId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Some(endpoint) = self.endpoints.get(to) else {
            return;
        };
        if !self.may_start_attempt(request, endpoint) {
            return self.reject(id, actions);
        }
        let is_retry = request.has_attempts();
        let plan = self.plan_attempt(request);
        if let Some(after) = plan.hedge_after {
            actions.push(Action::SetTimer {
                after,
                timer: Timer::Request(id),
            });
        }
        let attempt = Attempt {
            endpoint: endpoint.entry,
            started: self.now,
            expires: self.now + plan.timeout,
            load_level: load_level(self.load_snapshot().estimate(endpoint)),
            outcome: None,
        };
        actions.push(Action::StartAttempt {
            id,
            endpoint: to,
            timeout: plan.timeout,
        });
        self.record_attempt(id, attempt);
        if is_retry {
            self.retry_budget.withdraw();
        }
    }

    fn plan_attempt(&self, request: &PendingRequest) -> AttemptPlan {
        let timer_margin = 2 * self.settings.tick;
        let allowance = RetryAllowance {
            retryable_for: idempotency::retryable_for(request, self.now, timer_margin),
            budget_allows: self.retry_budget.allows_retry_after(request.has_attempts()),
        };
        let median = self.response_times.median();
        self.hedging.plan(request, median, &allowance, self.now)
    }
}

/// Returns the endpoints whose load is not above the average of them all.
fn not_above_average_load<'a>(
    endpoints: Vec<&'a Endpoint>,
    loads: &LoadSnapshot,
) -> Vec<&'a Endpoint> {
    const ROUNDING: f64 = 1e-9;
    let estimates: Vec<f64> = endpoints
        .iter()
        .map(|endpoint| loads.estimate(endpoint))
        .collect();
    let average = estimates.iter().sum::<f64>() / endpoints.len() as f64 + ROUNDING;
    endpoints
        .into_iter()
        .zip(estimates)
        .filter(|(_, load)| *load <= average)
        .map(|(endpoint, _)| endpoint)
        .collect()
}

/// Returns the endpoints that have not reported their load lately and are not being asked for it.
fn of_unknown_load(endpoints: &[&Endpoint], loads: &LoadSnapshot) -> Vec<EndpointId> {
    endpoints
        .iter()
        .filter(|endpoint| !endpoint.check_in_flight && loads.reported(endpoint).is_none())
        .map(|endpoint| endpoint.entry.id)
        .collect()
}
