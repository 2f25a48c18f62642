//! The last load that an endpoint reported. `estimates/load_snapshot.rs` says how long it counts.

use crate::LoadReport;
use std::time::Duration;

/// The load that a report tells of: requests in flight, or waiting where that is all there is.
pub fn reported_load(report: &LoadReport) -> Option<f64> {
    report.in_flight.or(report.queue).map(f64::from)
}

/// The last load that an endpoint reported.
#[derive(Clone, Copy)]
pub struct ReportedLoad {
    /// The reported requests, and own sends since.
    requests: f64,
    reported_at: Duration,
}

impl ReportedLoad {
    /// A report of this many requests.
    pub fn new(requests: f64, reported_at: Duration) -> Self {
        ReportedLoad {
            requests,
            reported_at,
        }
    }

    /// The reported requests, and own sends since.
    pub fn requests(&self) -> f64 {
        self.requests
    }

    /// When it was reported.
    pub fn reported_at(&self) -> Duration {
        self.reported_at
    }

    /// An attempt was sent there since the report.
    pub fn add_send(&mut self) {
        self.requests += 1.0;
    }
}
