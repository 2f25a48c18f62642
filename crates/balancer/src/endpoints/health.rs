//! The health of an endpoint, as its signals tell. What follows from it is decided in
//! `health/outlier_ejection.rs`.

use crate::numeric::{SMOOTHING, smooth};
use std::time::Duration;

/// What an attempt or a health check says of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthSignal {
    /// It responded in good time.
    Responded,
    /// It responded with no time to spare.
    RespondedLate,
    /// It failed to respond.
    Failed,
    /// It cannot be reached from here at all.
    Unreachable,
}

impl HealthSignal {
    /// Returns how much of a failure it is, from 0 to 1.
    pub(crate) fn failure_score(self) -> f64 {
        match self {
            HealthSignal::Responded => 0.0,
            HealthSignal::RespondedLate => 0.5,
            HealthSignal::Failed | HealthSignal::Unreachable => 1.0,
        }
    }

    /// Returns its weight in the endpoint's failure rate.
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
    /// The end of its ejection. After that it is on probation until it responds.
    ejected_until: Option<Duration>,
    /// Ejections in a row, halved by each response.
    ejections: u32,
}

impl Health {
    /// Returns the moving average of its failures, from 0 to 1.
    pub(crate) fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Returns its ejections in a row, halved by each response.
    pub(crate) fn ejections(&self) -> u32 {
        self.ejections
    }

    /// Returns whether it is ejected or on probation.
    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Returns whether its ejection has ended, and it is on probation until it responds.
    pub(crate) fn is_on_probation(&self, now: Duration) -> bool {
        self.ejected_until.is_some_and(|until| now >= until)
    }

    /// Takes a signal into its failure rate.
    pub(crate) fn record(&mut self, signal: HealthSignal) {
        smooth(
            &mut self.failure_rate,
            signal.failure_score(),
            signal.weight(),
        );
    }

    /// Ejects it.
    pub(crate) fn eject(&mut self, until: Duration) {
        self.ejected_until = Some(until);
        self.ejections += 1;
    }

    /// Ends its ejection and its probation.
    pub(crate) fn restore(&mut self) {
        self.ejected_until = None;
        self.ejections /= 2;
    }
}
