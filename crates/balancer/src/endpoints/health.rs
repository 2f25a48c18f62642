//! The health of an endpoint: its failure rate and its ejections. `health/outlier_ejection.rs`
//! decides when an endpoint is ejected.

use crate::numeric::{SMOOTHING, smooth};
use std::time::Duration;

/// The result of an attempt or a health check, as it affects the health of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthSignal {
    /// The endpoint responded in time.
    Responded,
    /// The endpoint responded with hardly any time left for the client, or too late.
    RespondedLate,
    /// The endpoint returned an error or no response.
    Failed,
    /// No connection to the endpoint could be established.
    Unreachable,
}

impl HealthSignal {
    /// Returns the sample that this signal contributes to failure rates, from 0 (success) to 1
    /// (failure).
    pub(crate) fn failure_score(self) -> f64 {
        match self {
            HealthSignal::Responded => 0.0,
            HealthSignal::RespondedLate => 0.5,
            HealthSignal::Failed | HealthSignal::Unreachable => 1.0,
        }
    }

    /// Returns the weight of this signal in the moving average of the endpoint's failure rate.
    fn weight(self) -> f64 {
        match self {
            HealthSignal::Unreachable => 1.0,
            _ => SMOOTHING * 2.0,
        }
    }
}

/// The health of one endpoint.
#[derive(Clone, Copy, Default)]
pub(crate) struct Health {
    failure_rate: f64,
    /// When its ejection ends. It is then on probation until it responds.
    ejected_until: Option<Duration>,
    /// The number of successive ejections, halved by each response.
    ejections: u32,
}

impl Health {
    /// Returns the moving average of its failure scores, from 0 to 1.
    pub(crate) fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Returns the number of successive ejections, halved by each response.
    pub(crate) fn ejections(&self) -> u32 {
        self.ejections
    }

    /// Returns whether the endpoint is ejected or on probation.
    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Returns whether the endpoint is on probation: its ejection has ended, and it has not yet
    /// responded.
    pub(crate) fn is_on_probation(&self, now: Duration) -> bool {
        self.ejected_until.is_some_and(|until| now >= until)
    }

    /// Updates the failure rate with a signal.
    pub(crate) fn record(&mut self, signal: HealthSignal) {
        smooth(
            &mut self.failure_rate,
            signal.failure_score(),
            signal.weight(),
        );
    }

    /// Ejects the endpoint until a point in time.
    pub(crate) fn eject(&mut self, until: Duration) {
        self.ejected_until = Some(until);
        self.ejections += 1;
    }

    /// Ends the ejection and the probation.
    pub(crate) fn restore(&mut self) {
        self.ejected_until = None;
        self.ejections /= 2;
    }
}
