//! Load reports, which endpoints send in a header of a response or in the body of a health check's
//! response.

use crate::logging::log_rate_limited;
use hyper::header::{HeaderMap, HeaderName};
use ottertiller_balancer::settings::LoadReportColumn;
use ottertiller_balancer::{LoadReport, LoadReportSource};

/// The response header that carries a load report.
const LOAD_REPORT: HeaderName = HeaderName::from_static("x-load-report");

/// Parses load reports in the form that the settings describe.
pub(super) struct LoadReportParser {
    source: LoadReportSource,
    columns: Vec<LoadReportColumn>,
}

impl LoadReportParser {
    /// Returns a parser that reads these columns and ignores all others.
    pub(super) fn new(source: LoadReportSource, columns: Vec<LoadReportColumn>) -> Self {
        LoadReportParser { source, columns }
    }

    /// Returns whether endpoints report their load.
    pub(super) fn is_enabled(&self) -> bool {
        self.source != LoadReportSource::None
    }

    /// Returns the report in a response's headers. A malformed one is logged and dropped.
    pub(super) fn parse_headers(&self, headers: &HeaderMap) -> Option<LoadReport> {
        let value = headers.get(LOAD_REPORT).filter(|_| self.is_enabled())?;
        let report = value.to_str().ok().and_then(|text| self.parse(text));
        if report.is_none() {
            log_rate_limited(format_args!("malformed load report dropped: {value:?}"));
        }
        report
    }

    /// Returns the report that is the body of a health check's response. A malformed one is dropped
    /// without a log line.
    pub(super) fn parse_body(&self, body: &[u8]) -> Option<LoadReport> {
        if !self.is_enabled() {
            return None;
        }
        self.parse(std::str::from_utf8(body).ok()?)
    }

    /// Parses a report such as `inflight=7,queue=2`; returns `None` if any part of it is malformed.
    fn parse(&self, text: &str) -> Option<LoadReport> {
        let mut report = LoadReport::default();
        for field in text.trim().split(',') {
            let (name, value) = field.split_once('=')?;
            let column = LoadReportColumn::from_report_name(name.trim());
            let value = parse_value(value)?;
            if self.columns.contains(&column) {
                column.set(&mut report, value);
            }
        }
        Some(report)
    }
}

/// Parses a number that is finite and not negative.
fn parse_value(text: &str) -> Option<f32> {
    let value: f32 = text.trim().parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some(value)
}

#[cfg(test)]
mod tests;
