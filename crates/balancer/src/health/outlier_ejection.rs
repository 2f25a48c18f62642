//! Outlier ejection: an endpoint that fails far more often than the others gets no requests for a
//! while, then one in so many on trial until it serves again.

use crate::endpoints::{Endpoint, EndpointSet, Health, HealthSignal};
use crate::numeric::{SMOOTHING, smooth};
use crate::{EndpointId, Idempotency, Settings};
use std::time::Duration;

/// An endpoint is an outlier if it fails more often than this ...
const MIN_FAILURE_RATE: f64 = 0.5;
/// ... and than this multiple of the failure rate of all: what all suffer is no endpoint's fault.
const MIN_EXCESS: f64 = 1.5;
/// Each further ejection in a row lasts twice as long, up to 2 to this power.
const MAX_DOUBLINGS: u32 = 4;
/// The share of requests that may be a trial ...
const TRIAL_SHARE: f64 = SMOOTHING;
/// ... and how much smaller it is for those that cannot be retried: else trials take most of the
/// requests of a quiet node.
const UNRETRYABLE_TRIAL_DIVISOR: f64 = 4.0;

/// Ejects outliers and offers them on trial.
pub struct OutlierDetector {
    base_ejection_time: Duration,
    /// The failure rate of all endpoints.
    failure_rate: f64,
}

impl OutlierDetector {
    /// No failures yet.
    pub fn new(settings: &Settings) -> Self {
        OutlierDetector {
            base_ejection_time: settings.rules.overload_window,
            failure_rate: 0.0,
        }
    }

    /// Takes in a signal, and ejects the endpoint if that makes it an outlier.
    pub fn record(
        &mut self,
        endpoints: &mut EndpointSet,
        id: EndpointId,
        signal: HealthSignal,
        subset_size: usize,
        now: Duration,
    ) {
        let Some(endpoint) = endpoints.get_mut(id) else {
            return;
        };
        endpoint.health.record(signal);
        smooth(&mut self.failure_rate, signal.failure(), SMOOTHING / 2.0);
        if signal.failure() < 1.0 {
            endpoint.health.restore();
            return;
        }
        let health = endpoint.health;
        let must_eject = health.is_ejected() || signal == HealthSignal::Unreachable;
        if must_eject || self.is_outlier(&health) && may_eject_more(endpoints, 2 * subset_size) {
            let Some(endpoint) = endpoints.get_mut(id) else {
                return;
            };
            let doublings = health.ejections().min(MAX_DOUBLINGS);
            endpoint
                .health
                .eject(now + self.base_ejection_time * (1 << doublings));
        }
    }

    fn is_outlier(&self, health: &Health) -> bool {
        let rate = health.failure_rate();
        rate > MIN_FAILURE_RATE && rate > MIN_EXCESS * self.failure_rate
    }
}

/// Whether the first attempt at a request may be a trial; `draw` is the request's random draw.
pub fn allows_trial(idempotency: Idempotency, draw: f64) -> bool {
    match idempotency {
        Idempotency::NotIdempotent => draw * UNRETRYABLE_TRIAL_DIVISOR < TRIAL_SHARE,
        _ => draw < TRIAL_SHARE,
    }
}

/// The endpoints to choose from: those due for a trial if this may be one, else those not ejected,
/// else all.
pub fn candidates(permitted: Vec<&Endpoint>, may_be_trial: bool, now: Duration) -> Vec<&Endpoint> {
    let is_due = |e: &&Endpoint| e.in_flight == 0 && e.health.is_on_trial(now);
    if may_be_trial && permitted.iter().any(is_due) {
        return permitted.into_iter().filter(is_due).collect();
    }
    let healthy = permitted
        .iter()
        .copied()
        .filter(|endpoint| !endpoint.health.is_ejected());
    let healthy: Vec<&Endpoint> = healthy.collect();
    if healthy.is_empty() {
        permitted
    } else {
        healthy
    }
}

/// Half of the nearby endpoints are never ejected as outliers.
fn may_eject_more(endpoints: &EndpointSet, nearby: usize) -> bool {
    let ejected = endpoints
        .ring()
        .take(nearby)
        .filter(|endpoint| endpoint.health.is_ejected())
        .count();
    let nearby = nearby.min(endpoints.ready_count());
    2 * ejected + 2 <= nearby
}
