//! The values that a load report may have.

use crate::endpoint::LoadReport;
use serde::Deserialize;

/// A value of a load report. A settings file lists them in the order in which reports carry them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum LoadReportColumn {
    /// The requests in flight.
    #[serde(rename = "concurrent")]
    InFlight,
    /// The requests that wait in the queue.
    #[serde(rename = "depth")]
    QueueLength,
    /// The fraction of its processors in use.
    #[serde(rename = "load_share")]
    Utilisation,
    /// The recent mean service time, in milliseconds.
    #[serde(rename = "mean_ms")]
    LatencyMs,
    /// The responses per second.
    #[serde(rename = "tps")]
    Throughput,
    /// The errors per second.
    #[serde(rename = "err_ps")]
    ErrorsPerS,
    /// A value that this version does not know.
    #[serde(other)]
    Unknown,
}

impl LoadReportColumn {
    /// Returns the column of this name in a load report header or a health check's body: the name
    /// that settings files use, or that of the protocol.
    pub fn from_report_name(name: &str) -> Self {
        match name {
            "concurrent" | "inflight" => LoadReportColumn::InFlight,
            "depth" | "queue" => LoadReportColumn::QueueLength,
            "load_share" | "util" => LoadReportColumn::Utilisation,
            "mean_ms" | "latency_ms" => LoadReportColumn::LatencyMs,
            "tps" | "qps" => LoadReportColumn::Throughput,
            "err_ps" | "eps" => LoadReportColumn::ErrorsPerS,
            _ => LoadReportColumn::Unknown,
        }
    }

    /// Sets this column of a report. A value that is not finite counts as missing.
    pub fn set(self, report: &mut LoadReport, value: f32) {
        let field = match self {
            LoadReportColumn::InFlight => &mut report.in_flight,
            LoadReportColumn::QueueLength => &mut report.queue_length,
            LoadReportColumn::Utilisation => &mut report.utilisation,
            LoadReportColumn::LatencyMs => &mut report.latency_ms,
            LoadReportColumn::Throughput => &mut report.throughput,
            LoadReportColumn::ErrorsPerS => &mut report.errors_per_s,
            LoadReportColumn::Unknown => return,
        };
        *field = value.is_finite().then_some(value);
    }
}
