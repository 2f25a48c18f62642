//! The load that an endpoint last reported. `estimates/load_snapshot.rs` decides how long it is
//! valid.

use crate::LoadReport;
use std::time::Duration;

/// Returns the load in a report: the requests in flight or, if that value is missing, the queue
/// length.
pub(crate) fn reported_load(report: &LoadReport) -> Option<f64> {
    report.in_flight.or(report.queue_length).map(f64::from)
}

/// The load that an endpoint last reported.
#[derive(Clone, Copy)]
pub(crate) struct ReportedLoad {
    /// The reported number of requests, plus this node's sends since the report.
    requests: f64,
    reported_at: Duration,
}

impl ReportedLoad {
    /// Returns a reported load of this many requests.
    pub(crate) fn new(requests: f64, reported_at: Duration) -> Self {
        ReportedLoad {
            requests,
            reported_at,
        }
    }

    /// Returns the reported number of requests, plus this node's sends since the report.
    pub(crate) fn requests(&self) -> f64 {
        self.requests
    }

    /// Returns when the load was reported.
    pub(crate) fn reported_at(&self) -> Duration {
        self.reported_at
    }

    /// Counts an attempt that this node has sent since the report.
    pub(crate) fn add_send(&mut self) {
        self.requests += 1.0;
    }
}
