//! How much a request counts when some must be shed: its class's priority weight, less where its
//! tenant is over its quota (settings keys `Credit`, `Projects`, `OverShareWorth`).

use crate::numeric::{SMOOTHING, TokenBucket, smooth};
use crate::{Settings, Tenant};
use std::time::Duration;

/// A priority is at most so many times that of the mean request.
const MAX_PRIORITY: f64 = 1e3;

/// The priorities of requests, relative to the mean request.
pub struct Priorities {
    class_weights: Vec<f64>,
    /// This node's part of each tenant's quota.
    quotas: Vec<TokenBucket>,
    over_quota_weight: f64,
    /// The goal's weights of the worst-served class and of the whole.
    worst_class: f64,
    whole: f64,
    mean_weight: f64,
}

impl Priorities {
    /// Before the first request.
    pub fn new(settings: &Settings) -> Self {
        let nodes = f64::from(settings.node_count.max(1));
        let quota = |tenant: &Tenant| TokenBucket::new(tenant.quota_per_s / nodes);
        let class_weights: Vec<f64> = settings
            .classes
            .iter()
            .map(|class| class.priority_weight)
            .collect();
        Priorities {
            quotas: settings.tenants.iter().map(quota).collect(),
            over_quota_weight: settings.over_quota_weight,
            worst_class: settings.objective_weights.worst_class,
            whole: settings.objective_weights.whole.max(SMOOTHING),
            mean_weight: class_weights.iter().sum::<f64>() / class_weights.len().max(1) as f64,
            class_weights,
        }
    }

    /// Takes in a new request and returns its priority. The goal's weight of the worst-served class
    /// is spread evenly over all classes, since any may become the worst.
    pub fn of(&mut self, class: usize, tenant: usize, now: Duration) -> f64 {
        let class_weight = self.class_weights[class];
        let weight = class_weight
            * if self.is_over_quota(tenant, now) {
                self.over_quota_weight
            } else {
                1.0
            };
        smooth(&mut self.mean_weight, weight, SMOOTHING / 8.0);
        let even = self.mean_weight * self.worst_class / self.whole;
        ((weight + even) / (self.mean_weight + even).max(1e-9)).clamp(0.0, MAX_PRIORITY)
    }

    /// Counts a request against its tenant's quota.
    fn is_over_quota(&mut self, tenant: usize, now: Duration) -> bool {
        self.quotas
            .get_mut(tenant)
            .is_some_and(|quota| !quota.take(now))
    }
}
