//! Routes requests: [`Balancer::decide_route`] selects an endpoint, and
//! [`Balancer::start_attempt`] starts the attempt there.
//!
//! An endpoint is selected in these steps:
//!
//! 1. The rules in `eligibility` determine the eligible endpoints. No later step overrides them.
//! 2. Outlier ejection keeps the healthy endpoints, or all of them if none is healthy. For a few
//!    requests, it keeps only endpoints on probation, to probe them.
//! 3. Admission control keeps the endpoints that are likely to respond in time.
//! 4. Endpoints with more than the average load of those that remain are left out.
//! 5. Join-Up-To(m) selects one of the rest. If all have reached the cap m, health checks may find
//!    an idle endpoint; otherwise one is selected at random.

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

/// The time after which a request without an eligible endpoint is routed again, as a fraction of
/// the mean response time.
const REROUTE_DELAY_IN_RESPONSE_TIMES: f64 = 1.0 / 8.0;
/// The amount by which a load may exceed the average and still count as equal to it, for rounding
/// errors.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// The random numbers of one routing decision, each in the range `[0, 1)`.
struct RandomDraws {
    /// Decides on admission and on probes of ejected endpoints.
    admission: f64,
    /// Selects one of several equally good endpoints.
    tie_break: f64,
}

/// What to do with a request that needs its first or a further attempt.
enum RoutingDecision {
    /// Do nothing: the request is closed, is queued for health checks, or has an attempt in flight
    /// that may be served.
    Wait,
    /// Route the request again later. No endpoint is eligible for its first attempt: none is ready,
    /// or all ready ones are in slow start and have no permit for it.
    WaitForEndpoint,
    /// Send the request to this endpoint.
    Send(EndpointId),
    /// Send health checks to the endpoints whose load is unknown. If none can be sent, send the
    /// request to `fallback`.
    CheckLoads {
        unknown: Vec<EndpointId>,
        fallback: Option<EndpointId>,
    },
    /// Reject the request: no further attempt is allowed, no endpoint is eligible for a retry, or
    /// no endpoint is likely to respond in time.
    Reject,
}

impl Balancer {
    /// Makes a routing decision on a request, and carries it out.
    pub(super) fn route(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let draws = RandomDraws {
            admission: self.random.uniform(),
            tie_break: self.random.uniform(),
        };
        let subset_size = self.subset_size();
        self.slow_start
            .draw_permits(&mut self.endpoints, subset_size, self.now, &mut self.random);
        match self.decide_route(id, subset_size, &draws) {
            RoutingDecision::Wait => {}
            RoutingDecision::WaitForEndpoint => self.wait_for_endpoint(id, actions),
            RoutingDecision::Send(endpoint) => self.start_attempt(id, endpoint, actions),
            RoutingDecision::CheckLoads { unknown, fallback } => {
                self.check_loads(id, unknown, fallback, actions);
            }
            RoutingDecision::Reject => self.reject(id, actions),
        }
    }

    /// Decides whether an attempt at a request may start now, and at which endpoint.
    fn decide_route(
        &self,
        id: RequestId,
        subset_size: usize,
        draws: &RandomDraws,
    ) -> RoutingDecision {
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
            (false, _) => self.select_endpoint(id, request, eligible, draws),
        }
    }

    /// Selects one of the eligible endpoints: steps 2 to 5 of the module documentation.
    fn select_endpoint(
        &self,
        id: RequestId,
        request: &PendingRequest,
        eligible: Vec<&Endpoint>,
        draws: &RandomDraws,
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
        let preferred = without_above_average_load(admitting, &loads);
        if let Some(endpoint) =
            self.join_up_to
                .lowest_below_cap(&preferred, &loads, draws.tie_break)
        {
            return RoutingDecision::Send(endpoint);
        }
        if self.queued.contains(id) {
            return RoutingDecision::Wait;
        }
        let fallback = join_up_to::pick_at_random(&preferred, draws.tie_break);
        if self.should_check_loads(request) {
            return RoutingDecision::CheckLoads {
                unknown: with_unknown_load(&healthy, &loads),
                fallback,
            };
        }
        fallback.map_or(RoutingDecision::Reject, RoutingDecision::Send)
    }

    /// Returns whether health checks are still allowed for a request and save more than they cost.
    fn should_check_loads(&self, request: &PendingRequest) -> bool {
        let mean_work = self
            .declared_work
            .mean()
            .unwrap_or(self.response_times.median());
        let busy_share = self.join_up_to.busy_share();
        request.stage.may_check_health()
            && self
                .active_checks
                .benefit_covers_cost(request, busy_share, mean_work, self.now)
    }

    /// Sets the timer after which a request without an eligible endpoint is routed again.
    fn wait_for_endpoint(&self, id: RequestId, actions: &mut Vec<Action>) {
        let delay = self.response_times.mean() * REROUTE_DELAY_IN_RESPONSE_TIMES;
        actions.push(Action::SetTimer {
            after: delay.to_duration().max(self.settings.tick),
            timer: Timer::Request(id),
        });
    }

    /// Starts health checks and queues the request for them. If no health check is in flight, sends
    /// the request to `fallback` or rejects it.
    fn check_loads(
        &mut self,
        id: RequestId,
        unknown: Vec<EndpointId>,
        fallback: Option<EndpointId>,
        actions: &mut Vec<Action>,
    ) {
        if self
            .active_checks
            .start(unknown, &mut self.endpoints, &mut self.random, actions)
        {
            return self.queue_for_health_checks(id, actions);
        }
        match fallback {
            Some(endpoint) => self.start_attempt(id, endpoint, actions),
            None => self.reject(id, actions),
        }
    }

    /// Queues a request until a health check ends, for a limited time.
    fn queue_for_health_checks(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.queued.enqueue(id);
        actions.push(Action::SetTimer {
            after: self
                .active_checks
                .max_queue_time(self.response_times.mean()),
            timer: Timer::Request(id),
        });
    }

    /// Starts an attempt at a request, or rejects the request if a rule forbids the attempt.
    ///
    /// Only this method starts attempts, and it checks every rule again, whichever decision led to
    /// the attempt.
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

    /// Returns the timeout of an attempt that starts now, and the delay of the hedged request.
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

/// Returns the endpoints whose load is not above the average load of all given endpoints.
fn without_above_average_load<'a>(
    endpoints: Vec<&'a Endpoint>,
    loads: &LoadSnapshot,
) -> Vec<&'a Endpoint> {
    let estimates: Vec<f64> = endpoints
        .iter()
        .map(|endpoint| loads.estimate(endpoint))
        .collect();
    let average = estimates.iter().sum::<f64>() / endpoints.len() as f64;
    let max_load = average + ROUNDING_TOLERANCE;
    endpoints
        .into_iter()
        .zip(estimates)
        .filter(|(_, load)| *load <= max_load)
        .map(|(endpoint, _)| endpoint)
        .collect()
}

/// Returns the endpoints that have no fresh load report and no health check in flight.
fn with_unknown_load(endpoints: &[&Endpoint], loads: &LoadSnapshot) -> Vec<EndpointId> {
    endpoints
        .iter()
        .filter(|endpoint| !endpoint.check_in_flight && loads.reported(endpoint).is_none())
        .map(|endpoint| endpoint.entry.id)
        .collect()
}
