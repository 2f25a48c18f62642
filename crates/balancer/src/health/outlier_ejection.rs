//! Outlier ejection: an endpoint that fails far more often than the others gets no requests for a
//! while. After that it is on probation: a few requests probe it until it serves one.

use crate::endpoints::{Endpoint, EndpointSet, Health, HealthSignal};
use crate::numeric::{SMOOTHING, smooth};
use crate::{Idempotency, Settings};
use std::time::Duration;

/// The failure rate above which an endpoint may be an outlier.
const MIN_FAILURE_RATE: f64 = 0.5;
/// The multiple of the failure rate of all endpoints above which one may be an outlier: a failure
/// that affects all endpoints makes none of them an outlier.
const MIN_FAILURE_RATE_RATIO: f64 = 1.5;
/// The ejection time doubles with each ejection in a row, up to this many times.
const MAX_DOUBLINGS: u32 = 4;
/// The share of requests that may probe an endpoint on probation.
const PROBE_SHARE: f64 = SMOOTHING;
/// The factor by which that share is smaller for requests that are not idempotent, which cannot be
/// retried if a failed probe may have run them. Otherwise probes would take most of the requests of
/// a quiet node.
const NOT_IDEMPOTENT_PROBE_DIVISOR: f64 = 4.0;

/// What follows from a health signal for the endpoint that it concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EjectionAdvice {
    /// The endpoint stays in use.
    Keep,
    /// The endpoint is an outlier, and is ejected unless too many others are.
    EjectOutlier,
    /// The endpoint is ejected in any case: it is unreachable, or has failed while ejected or on
    /// probation.
    EjectAlways,
}

/// Detects and ejects outliers.
pub(crate) struct OutlierDetector {
    base_ejection_time: Duration,
    /// The moving average of the failure rate of all endpoints.
    failure_rate: f64,
}

impl OutlierDetector {
    /// Returns a detector that has recorded no failures.
    pub(crate) fn new(settings: &Settings) -> Self {
        OutlierDetector {
            base_ejection_time: settings.rules.overload_window,
            failure_rate: 0.0,
        }
    }

    /// Records a health signal of an endpoint, and returns what follows from it. A response
    /// restores an endpoint that was ejected.
    pub(crate) fn record(
        &mut self,
        endpoint: &mut Endpoint,
        signal: HealthSignal,
    ) -> EjectionAdvice {
        endpoint.health.record(signal);
        smooth(
            &mut self.failure_rate,
            signal.failure_score(),
            SMOOTHING / 2.0,
        );
        if signal.failure_score() < 1.0 {
            endpoint.health.restore();
            return EjectionAdvice::Keep;
        }
        if endpoint.health.is_ejected() || signal == HealthSignal::Unreachable {
            EjectionAdvice::EjectAlways
        } else if self.is_outlier(&endpoint.health) {
            EjectionAdvice::EjectOutlier
        } else {
            EjectionAdvice::Keep
        }
    }

    /// Ejects an endpoint. Each further ejection in a row lasts twice as long as the one before, up
    /// to [`MAX_DOUBLINGS`] doublings.
    pub(crate) fn eject(&self, endpoint: &mut Endpoint, now: Duration) {
        let doublings = endpoint.health.ejections().min(MAX_DOUBLINGS);
        let ejection_time = self.base_ejection_time * (1 << doublings);
        endpoint.health.eject(now + ejection_time);
    }

    fn is_outlier(&self, health: &Health) -> bool {
        let rate = health.failure_rate();
        rate > MIN_FAILURE_RATE && rate > MIN_FAILURE_RATE_RATIO * self.failure_rate
    }
}

/// Returns whether to eject an endpoint with this advice. An outlier is not ejected if more than
/// half of the first `neighborhood_size` endpoints on the ring would be ejected then.
pub(crate) fn should_eject(
    advice: EjectionAdvice,
    endpoints: &EndpointSet,
    neighborhood_size: usize,
) -> bool {
    match advice {
        EjectionAdvice::Keep => false,
        EjectionAdvice::EjectOutlier => may_eject_outlier(endpoints, neighborhood_size),
        EjectionAdvice::EjectAlways => true,
    }
}

/// Returns whether at most half of the neighborhood is ejected after one more ejection.
fn may_eject_outlier(endpoints: &EndpointSet, neighborhood_size: usize) -> bool {
    let ejected = endpoints
        .ring()
        .take(neighborhood_size)
        .filter(|endpoint| endpoint.health.is_ejected())
        .count();
    let neighborhood_size = neighborhood_size.min(endpoints.ready_count());
    2 * ejected + 2 <= neighborhood_size
}

/// Returns whether the first attempt at a request may probe an endpoint on probation. `draw` is a
/// random number in the range `[0, 1)`.
pub(crate) fn may_probe(idempotency: Idempotency, draw: f64) -> bool {
    match idempotency {
        Idempotency::NotIdempotent => draw * NOT_IDEMPOTENT_PROBE_DIVISOR < PROBE_SHARE,
        Idempotency::Idempotent | Idempotency::Keyed { .. } => draw < PROBE_SHARE,
    }
}

/// Returns the endpoints to select from: those due for a probe, if there are any and the request
/// may probe; otherwise those that are not ejected; if all are ejected, all of them.
pub(crate) fn candidates(
    eligible: Vec<&Endpoint>,
    may_probe: bool,
    now: Duration,
) -> Vec<&Endpoint> {
    let is_due_for_probe = |e: &&Endpoint| e.in_flight == 0 && e.health.is_on_probation(now);
    if may_probe && eligible.iter().any(is_due_for_probe) {
        return eligible.into_iter().filter(is_due_for_probe).collect();
    }
    let healthy: Vec<&Endpoint> = eligible
        .iter()
        .copied()
        .filter(|endpoint| !endpoint.health.is_ejected())
        .collect();
    if healthy.is_empty() {
        eligible
    } else {
        healthy
    }
}
