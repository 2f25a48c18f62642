//! The last load that an endpoint reported. `estimates/load_snapshot.rs` says how long it counts.

use crate::LoadReport;
use std::time::Duration;

/// Returns the load that a report tells of: the requests in flight, or, where that is missing,
/// those that wait in the queue.
pub(crate) fn reported_load(report: &LoadReport) -> Option<f64> {
    report.in_flight.or(report.queue_length).map(f64::from)
}

/// The last load that an endpoint reported.
#[derive(Clone, Copy)]
pub(crate) struct ReportedLoad {
    /// The reported requests, with own sends since.
    requests: f64,
    reported_at: Duration,
}

impl ReportedLoad {
    /// Returns a load of this many requests.
    pub(crate) fn new(requests: f64, reported_at: Duration) -> Self {
        ReportedLoad {
            requests,
            reported_at,
        }
    }

    /// Returns the reported requests, with own sends since.
    pub(crate) fn requests(&self) -> f64 {
        self.requests
    }

    /// Returns when the load was reported.
    pub(crate) fn reported_at(&self) -> Duration {
        self.reported_at
    }

    /// Counts an attempt that was sent since the report.
    pub(crate) fn add_send(&mut self) {
        self.requests += 1.0;
    }
}
