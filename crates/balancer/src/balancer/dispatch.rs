//! Where a request goes: `Balancer::route` decides, and `Balancer::start_attempt` sends.
//!
//! The rules say which endpoints are permitted; nothing relaxes them. Outlier ejection leaves the
//! healthy ones, or all if none is. Admission control leaves those likely to answer in time, and of
//! these the ones not loaded above average. Among them Join-Up-To(m) picks. If all have reached m,
//! health checks may find an idle one; else it is one at random.

use super::Balancer;
use crate::admission::load_level;
use crate::endpoints::Endpoint;
use crate::estimates::load_snapshot::LoadSnapshot;
use crate::health::outlier_ejection;
use crate::requests::{Attempt, PendingRequest};
use crate::retry::hedging::{AttemptPlan, RetryAllowance};
use crate::retry::idempotency;
use crate::routing::join_up_to;
use crate::{Action, EndpointId, EndpointState, RequestId, Timer};

/// The fraction of the mean response time after which a request without a permitted endpoint looks
/// again.
const WAIT_IN_RESPONSES: f64 = 1.0 / 8.0;

/// The random draws of one decision.
struct Draws {
    /// Decides on admission and on probes of ejected endpoints.
    admission: f64,
    /// Picks among equals.
    pick: f64,
}

/// What to do with a request that waits for its first or a further attempt.
enum Route {
    /// Nothing: it is closed, queued for health checks, or an attempt is in flight that may be
    /// served.
    Wait,
    /// No endpoint is permitted: none is listed, or all that are have just started and have no
    /// permit.
    WaitForEndpoint,
    /// Send it to this endpoint.
    Send(EndpointId),
    /// Ask endpoints of unknown load for theirs; if that can't be done, as `otherwise`.
    CheckLoads {
        unknown: Vec<EndpointId>,
        otherwise: Option<EndpointId>,
    },
    /// Give it its final answer: no attempt may follow, or no endpoint is likely to answer it in
    /// time.
    Answer,
}

impl Balancer {
    /// Finds an endpoint for a request.
    pub(super) fn dispatch(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let draws = Draws {
            admission: self.random.unit(),
            pick: self.random.unit(),
        };
        let subset_size = self.subset_size();
        self.slow_start
            .draw_permits(&mut self.endpoints, subset_size, self.now, &mut self.random);
        match self.route(id, subset_size, &draws) {
            Route::Wait => {}
            Route::WaitForEndpoint => self.wait_for_endpoint(id, actions),
            Route::Send(endpoint) => self.start_attempt(id, endpoint, actions),
            Route::CheckLoads { unknown, otherwise } => {
                self.check_loads(id, unknown, otherwise, actions)
            }
            Route::Answer => self.answer(id, actions),
        }
    }

    fn route(&self, id: RequestId, subset_size: usize, draws: &Draws) -> Route {
        let Some(request) = self.requests.get(&id) else {
            return Route::Wait;
        };
        if request.stage.is_closed() || !self.allows_parallel_attempt(request) {
            return Route::Wait;
        }
        let is_retry = request.has_attempts();
        if self.now >= request.deadline || is_retry && !self.retry_budget.allows_retry() {
            return Route::Answer;
        }
        let permitted = self
            .endpoints
            .ring()
            .filter(|endpoint| self.permits(endpoint, request));
        let permitted: Vec<&Endpoint> = permitted.take(subset_size).collect();
        match (permitted.is_empty(), is_retry) {
            (true, true) => Route::Answer,
            (true, false) => Route::WaitForEndpoint,
            (false, _) => self.choose(id, request, permitted, draws),
        }
    }

    /// The choice among permitted endpoints.
    fn choose(
        &self,
        id: RequestId,
        request: &PendingRequest,
        permitted: Vec<&Endpoint>,
        draws: &Draws,
    ) -> Route {
        let loads = self.load_snapshot();
        let is_retry = request.has_attempts();
        let may_probe =
            !is_retry && outlier_ejection::may_probe(request.idempotency, draws.admission);
        let healthy = outlier_ejection::candidates(permitted, may_probe, self.now);
        let admits = |e: &&Endpoint| {
            self.admission
                .admits(e, &loads, request.priority, draws.admission)
        };
        let admitting = healthy.iter().copied().filter(admits).collect();
        let preferred = up_to_average(admitting, &loads);
        if let Some(endpoint) = self
            .join_up_to
            .lowest_below_cap(&preferred, &loads, draws.pick)
        {
            return Route::Send(endpoint);
        }
        if self.queued.contains(id) {
            return Route::Wait;
        }
        let at_random = join_up_to::pick_at_random(&preferred, draws.pick);
        if self.checks_are_worth_it(request) {
            let is_unknown = |e: &&&Endpoint| !e.check_in_flight && loads.reported(e).is_none();
            let unknown = healthy
                .iter()
                .filter(is_unknown)
                .map(|endpoint| endpoint.entry.id)
                .collect();
            return Route::CheckLoads {
                unknown,
                otherwise: at_random,
            };
        }
        at_random.map_or(Route::Answer, Route::Send)
    }

    fn checks_are_worth_it(&self, request: &PendingRequest) -> bool {
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

    /// The rules, which nothing relaxes: an endpoint that is ready, has warmed up or has a permit,
    /// may run the request (again), and was not tried for it before.
    fn permits(&self, endpoint: &Endpoint, request: &PendingRequest) -> bool {
        endpoint.entry.state == EndpointState::Ready
            && self
                .slow_start
                .allows(endpoint, request.relative_work, self.now)
            && idempotency::allows_attempt(request, &endpoint.entry, self.now)
            && !request.was_sent_to(&endpoint.entry)
    }

    fn allows_parallel_attempt(&self, request: &PendingRequest) -> bool {
        self.hedging
            .allows_attempt(request, self.response_times.median(), self.now)
    }

    fn wait_for_endpoint(&self, id: RequestId, actions: &mut Vec<Action>) {
        let wait = (self.response_times.mean() * WAIT_IN_RESPONSES).to_duration();
        actions.push(Action::SetTimer {
            after: wait.max(self.settings.tick),
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
            self.queued.enqueue(id);
            let after = self
                .active_checks
                .max_queue_time(self.response_times.mean());
            actions.push(Action::SetTimer {
                after,
                timer: Timer::Request(id),
            });
            return;
        }
        match otherwise {
            Some(endpoint) => self.start_attempt(id, endpoint, actions),
            None => self.answer(id, actions),
        }
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
            return self.answer(id, actions);
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

    fn may_start_attempt(&self, request: &PendingRequest, endpoint: &Endpoint) -> bool {
        let max_attempts = self.settings.limits.max_attempts.max(1) as usize;
        !request.stage.is_closed()
            && self.now < request.deadline
            && request.attempts.len() < max_attempts
            && self.allows_parallel_attempt(request)
            && self.permits(endpoint, request)
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

/// The endpoints whose load is not above the average of them all.
fn up_to_average<'a>(among: Vec<&'a Endpoint>, loads: &LoadSnapshot) -> Vec<&'a Endpoint> {
    const ROUNDING: f64 = 1e-9;
    let estimates: Vec<f64> = among
        .iter()
        .map(|endpoint| loads.estimate(endpoint))
        .collect();
    let average = estimates.iter().sum::<f64>() / among.len() as f64 + ROUNDING;
    let with_load = among.into_iter().zip(estimates);
    with_load
        .filter(|(_, load)| *load <= average)
        .map(|(endpoint, _)| endpoint)
        .collect()
}
