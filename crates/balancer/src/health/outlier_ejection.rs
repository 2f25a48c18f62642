//! Outlier ejection: an endpoint that fails far more often than the others gets no requests for a
//! while. After that it is on probation: some requests probe it, until it serves again.

use crate::endpoints::{Endpoint, EndpointSet, Health, HealthSignal};
use crate::numeric::{SMOOTHING, smooth};
use crate::{Idempotency, Settings};
use std::time::Duration;

/// The failure rate above which an endpoint may be an outlier.
const MIN_FAILURE_RATE: f64 = 0.5;
/// The multiple of the failure rate of all endpoints above which one may be an outlier: what all
/// endpoints suffer is the fault of none.
const MIN_EXCESS: f64 = 1.5;
/// Each further ejection in a row lasts twice as long, up to 2 to this power.
const MAX_DOUBLINGS: u32 = 4;
/// The share of requests that may probe an endpoint on probation.
const PROBE_SHARE: f64 = SMOOTHING;
/// How much smaller that share is among requests that cannot be retried: probes would otherwise
/// take most of the requests of a quiet node.
const UNRETRYABLE_PROBE_DIVISOR: f64 = 4.0;

/// What a signal means for the endpoint that gave it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It stays in use.
    Keep,
    /// It is an outlier, and is ejected unless too many others are.
    Outlier,
    /// It is ejected in any case: it cannot be reached, or has failed on probation.
    Unusable,
}

/// Detects and ejects outliers.
pub(crate) struct OutlierDetector {
    base_ejection_time: Duration,
    /// The failure rate of all endpoints.
    failure_rate: f64,
}

impl OutlierDetector {
    /// Returns a detector that has seen no failures.
    pub(crate) fn new(settings: &Settings) -> Self {
        OutlierDetector {
            base_ejection_time: settings.rules.overload_window,
            failure_rate: 0.0,
        }
    }

    /// Records a signal of an endpoint, and returns what it means. A response restores an endpoint
    /// that was ejected.
    pub(crate) fn record(&mut self, endpoint: &mut Endpoint, signal: HealthSignal) -> Verdict {
        endpoint.health.record(signal);
        smooth(
            &mut self.failure_rate,
            signal.failure_score(),
            SMOOTHING / 2.0,
        );
        if signal.failure_score() < 1.0 {
            endpoint.health.restore();
            return Verdict::Keep;
        }
        if endpoint.health.is_ejected() || signal == HealthSignal::Unreachable {
            Verdict::Unusable
        } else if self.is_outlier(&endpoint.health) {
            Verdict::Outlier
        } else {
            Verdict::Keep
        }
    }

    /// Ejects an endpoint, each time in a row for twice as long.
    pub(crate) fn eject(&self, endpoint: &mut Endpoint, now: Duration) {
        let doublings = endpoint.health.ejections().min(MAX_DOUBLINGS);
        let ejection_time = self.base_ejection_time * (1 << doublings);
        endpoint.health.eject(now + ejection_time);
    }

    fn is_outlier(&self, health: &Health) -> bool {
        let rate = health.failure_rate();
        rate > MIN_FAILURE_RATE && rate > MIN_EXCESS * self.failure_rate
    }
}

/// Returns whether an endpoint with this verdict is ejected. Half of the `nearby` next endpoints on
/// the ring are never ejected as outliers.
pub(crate) fn allows_ejection(verdict: Verdict, endpoints: &EndpointSet, nearby: usize) -> bool {
    match verdict {
        Verdict::Keep => false,
        Verdict::Outlier => may_eject_more(endpoints, nearby),
        Verdict::Unusable => true,
    }
}

fn may_eject_more(endpoints: &EndpointSet, nearby: usize) -> bool {
    let ejected = endpoints
        .ring()
        .take(nearby)
        .filter(|endpoint| endpoint.health.is_ejected())
        .count();
    let nearby = nearby.min(endpoints.ready_count());
    2 * ejected + 2 <= nearby
}

/// Returns whether the first attempt at a request may probe an endpoint on probation; `draw` is the
/// request's random draw.
pub(crate) fn may_probe(idempotency: Idempotency, draw: f64) -> bool {
    match idempotency {
        Idempotency::NotIdempotent => draw * UNRETRYABLE_PROBE_DIVISOR < PROBE_SHARE,
        Idempotency::Idempotent | Idempotency::Keyed { .. } => draw < PROBE_SHARE,
    }
}

/// Returns the endpoints to choose from: those due for a probe if the request may be one, else
/// those that are not ejected, else all.
pub(crate) fn candidates(
    eligible: Vec<&Endpoint>,
    may_probe: bool,
    now: Duration,
) -> Vec<&Endpoint> {
    let is_due = |e: &&Endpoint| e.in_flight == 0 && e.health.is_on_probation(now);
    if may_probe && eligible.iter().any(is_due) {
        return eligible.into_iter().filter(is_due).collect();
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
