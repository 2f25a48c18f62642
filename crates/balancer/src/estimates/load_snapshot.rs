//! Estimates of how loaded endpoints are at one moment: an endpoint's own report while that is
//! fresh, else the node's attempts in flight there.

use crate::endpoints::Endpoint;
use crate::numeric::{SMOOTHING, Seconds};
use std::time::Duration;

/// The age up to which a report is fresh, as a part of the mean response time: a queue turns over
/// within about one response time.
const MAX_AGE_IN_RESPONSES: f64 = 0.25;
/// An endpoint with fewer requests in flight than this is idle.
const IDLE_BELOW: f64 = 0.5;

/// The least success rate that own attempts in flight are divided by.
const MIN_SUCCESS_RATE: f64 = SMOOTHING;
/// The least share of busy load reports that decisions compute with.
pub(crate) const MIN_BUSY_SHARE: f64 = SMOOTHING;

/// Returns whether a reported load is that of an idle endpoint.
pub(crate) fn is_idle(load: f64) -> bool {
    load < IDLE_BELOW
}

/// The loads of endpoints at one moment.
pub(crate) struct LoadSnapshot {
    now: Duration,
    /// The age up to which a report is fresh.
    max_age: Seconds,
    /// Whether loads are polled by health checks. Reports that come only with responses lag too far
    /// behind to be used.
    polled: bool,
}

impl LoadSnapshot {
    /// Returns the loads as of `now`.
    pub(crate) fn new(polled: bool, mean_response_time: Seconds, now: Duration) -> Self {
        LoadSnapshot {
            now,
            max_age: mean_response_time * MAX_AGE_IN_RESPONSES,
            polled,
        }
    }

    /// Returns whether what was reported at `at` is fresh.
    pub(crate) fn is_fresh(&self, at: Duration) -> bool {
        Seconds::from(self.now - at) <= self.max_age
    }

    /// Returns the load that an endpoint reported, with own sends since; `None` unless it is fresh.
    pub(crate) fn reported(&self, endpoint: &Endpoint) -> Option<f64> {
        let report = endpoint.reported_load.filter(|_| self.polled)?;
        self.is_fresh(report.reported_at())
            .then(|| report.requests())
    }

    /// Returns the load of an endpoint: the reported one, or one guessed from own attempts and
    /// their failures, but not less than own attempts in flight.
    pub(crate) fn estimate(&self, endpoint: &Endpoint) -> f64 {
        let in_flight = f64::from(endpoint.in_flight);
        match self.reported(endpoint) {
            Some(load) => load.max(in_flight),
            None => in_flight / (1.0 - endpoint.health.failure_rate()).max(MIN_SUCCESS_RATE),
        }
    }
}
