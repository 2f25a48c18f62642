//! Estimates of the load of endpoints at one point in time. The estimate is the load that the
//! endpoint reported, while the report is fresh, and otherwise follows from this node's attempts in
//! flight at the endpoint.

use crate::endpoints::Endpoint;
use crate::numeric::{SMOOTHING, Seconds};
use std::time::Duration;

/// The age up to which a report is fresh, as a fraction of the mean response time. The content of a
/// queue is replaced within about one response time.
const MAX_AGE_IN_RESPONSE_TIMES: f64 = 0.25;
/// The number of requests in flight below which an endpoint is idle.
const IDLE_BELOW: f64 = 0.5;
/// The lower bound of the success rate by which attempts in flight are divided.
const MIN_SUCCESS_RATE: f64 = SMOOTHING;
/// The lower bound of the share of busy load reports that decisions use.
pub(crate) const MIN_BUSY_SHARE: f64 = SMOOTHING;

/// Returns whether an endpoint that reports this load is idle.
pub(crate) fn is_idle(load: f64) -> bool {
    load < IDLE_BELOW
}

/// The loads of endpoints at one point in time.
pub(crate) struct LoadSnapshot {
    now: Duration,
    /// The age up to which a report is fresh.
    max_age: Seconds,
    /// Whether health checks poll the loads. Reports that arrive only with responses are too old to
    /// be used.
    polled: bool,
}

impl LoadSnapshot {
    /// Returns the loads as of `now`.
    pub(crate) fn new(polled: bool, mean_response_time: Seconds, now: Duration) -> Self {
        LoadSnapshot {
            now,
            max_age: mean_response_time * MAX_AGE_IN_RESPONSE_TIMES,
            polled,
        }
    }

    /// Returns whether a report that arrived at `reported_at` is fresh.
    pub(crate) fn is_fresh(&self, reported_at: Duration) -> bool {
        Seconds::from(self.now - reported_at) <= self.max_age
    }

    /// Returns the load that an endpoint reported, plus this node's sends since the report. Returns
    /// `None` unless the report is fresh.
    pub(crate) fn reported(&self, endpoint: &Endpoint) -> Option<f64> {
        let report = endpoint.reported_load.filter(|_| self.polled)?;
        self.is_fresh(report.reported_at())
            .then(|| report.requests())
    }

    /// Returns the estimated load of an endpoint. With a fresh report, this is the reported load or
    /// the number of this node's attempts in flight there, whichever is higher. Without one, it is
    /// that number divided by the endpoint's success rate.
    pub(crate) fn estimate(&self, endpoint: &Endpoint) -> f64 {
        let in_flight = f64::from(endpoint.in_flight);
        match self.reported(endpoint) {
            Some(load) => load.max(in_flight),
            None => in_flight / (1.0 - endpoint.health.failure_rate()).max(MIN_SUCCESS_RATE),
        }
    }
}
