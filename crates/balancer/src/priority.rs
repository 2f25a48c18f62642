//! The priority of a request when some must be rejected: the priority weight of its class, reduced
//! if its tenant is over its quota (settings keys `Credit`, `Projects`, `OverShareWorth`).

use crate::numeric::{SLOW_SMOOTHING, SMOOTHING, TokenBucket, smooth};
use crate::{Settings, Tenant};
use std::time::Duration;

/// The maximum priority, as a multiple of the mean request's.
const MAX_PRIORITY: f64 = 1e3;
/// The lower bound on [`ObjectiveWeights::overall`](crate::ObjectiveWeights::overall), by which the
/// weight of the worst-served class is divided.
const MIN_OVERALL_WEIGHT: f64 = SMOOTHING;
/// The lower bound on the mean weight that a request's weight is divided by.
const MIN_MEAN_WEIGHT: f64 = 1e-9;

/// Computes the priorities of requests, relative to the mean request.
pub(crate) struct Priorities {
    class_weights: Vec<f64>,
    /// This node's part of each tenant's quota.
    quotas: Vec<Quota>,
    /// The factor on the weight of a request whose tenant is over its quota.
    over_quota_weight: f64,
    /// The weight of the service of the worst-served class in the objective.
    worst_class_weight: f64,
    /// The weight of the service over the whole time in the objective.
    overall_weight: f64,
    /// The moving average of the weights of requests.
    mean_weight: f64,
}

impl Priorities {
    /// Returns the priorities before the first request.
    pub(crate) fn new(settings: &Settings) -> Self {
        let class_weights: Vec<f64> = settings
            .classes
            .iter()
            .map(|class| class.priority_weight)
            .collect();
        Priorities {
            quotas: settings
                .tenants
                .iter()
                .map(|tenant| Quota::new(tenant, settings.node_count))
                .collect(),
            over_quota_weight: settings.over_quota_weight,
            worst_class_weight: settings.objective_weights.worst_class,
            overall_weight: settings.objective_weights.overall.max(MIN_OVERALL_WEIGHT),
            mean_weight: class_weights.iter().sum::<f64>() / class_weights.len().max(1) as f64,
            class_weights,
        }
    }

    /// Records a new request and returns its priority.
    ///
    /// The weight of the worst-served class in the objective is spread evenly over the requests of
    /// all classes, since any class may become the worst-served.
    pub(crate) fn record_request(&mut self, class: usize, tenant: usize, now: Duration) -> f64 {
        let quota_factor = if self.is_over_quota(tenant, now) {
            self.over_quota_weight
        } else {
            1.0
        };
        let weight = self.class_weights[class] * quota_factor;
        smooth(&mut self.mean_weight, weight, SLOW_SMOOTHING);
        let worst_class_part = self.mean_weight * self.worst_class_weight / self.overall_weight;
        let relative = (weight + worst_class_part)
            / (self.mean_weight + worst_class_part).max(MIN_MEAN_WEIGHT);
        relative.clamp(0.0, MAX_PRIORITY)
    }

    /// Counts a request against its tenant's quota, and returns whether the quota is exceeded.
    fn is_over_quota(&mut self, tenant: usize, now: Duration) -> bool {
        self.quotas
            .get_mut(tenant)
            .is_some_and(|quota| !quota.try_take(now))
    }
}

/// One node's part of a tenant's quota: a rate of requests, with a burst of one second's requests,
/// but at least one.
struct Quota {
    requests_per_second: f64,
    tokens: TokenBucket,
    updated: Duration,
}

impl Quota {
    fn new(tenant: &Tenant, node_count: u32) -> Self {
        let requests_per_second = tenant.quota_per_s / f64::from(node_count.max(1));
        Quota {
            requests_per_second,
            tokens: TokenBucket::new(0.0, requests_per_second.max(1.0)),
            updated: Duration::ZERO,
        }
    }

    /// Counts a request at `now`, and returns whether it is within the quota.
    fn try_take(&mut self, now: Duration) -> bool {
        let elapsed = (now - self.updated).as_secs_f64();
        self.tokens.refill(self.requests_per_second * elapsed);
        self.updated = now;
        self.tokens.try_take()
    }
}
