//! The health of an endpoint, as its signals tell. What follows from it is decided in
//! `health/outlier_ejection.rs`.

use crate::numeric::{SMOOTHING, smooth};
use std::time::Duration;

/// What an attempt or a health check says of an endpoint.
#[derive(Clone, Copy, PartialEq)]
pub enum HealthSignal {
    /// It answered in good time.
    Answered,
    /// It answered with no time to spare.
    AnsweredLate,
    /// It failed to answer.
    Failed,
    /// It cannot be reached from here at all.
    Unreachable,
}

impl HealthSignal {
    /// How much of a failure it is, from 0 to 1.
    pub fn failure(self) -> f64 {
        match self {
            HealthSignal::Answered => 0.0,
            HealthSignal::AnsweredLate => 0.5,
            HealthSignal::Failed | HealthSignal::Unreachable => 1.0,
        }
    }

    /// Its weight in the endpoint's failure rate.
    fn weight(self) -> f64 {
        match self {
            HealthSignal::Unreachable => 1.0,
            _ => SMOOTHING * 2.0,
        }
    }
}

/// The health of one endpoint.
#[derive(Clone, Copy, Default)]
pub struct Health {
    failure_rate: f64,
    /// Ejected until then; after that, on trial until it answers.
    ejected_until: Option<Duration>,
    /// Ejections in a row, halved by each answer.
    ejections: u32,
}

impl Health {
    /// The moving average of its failures, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Whether it is ejected or on trial.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// It answered.
    pub fn restore(&mut self) {
        self.ejected_until = None;
        self.ejections /= 2;
    }

    /// Whether its ejection has ended, and it is on trial until it answers.
    pub fn is_on_trial(&self, now: Duration) -> bool {
        self.ejected_until.is_some_and(|until| now >= until)
    }

    /// Its ejections in a row, halved by each answer.
    pub fn ejections(&self) -> u32 {
        self.ejections
    }

    /// Ejects it until then.
    pub fn eject(&mut self, until: Duration) {
        self.ejected_until = Some(until);
        self.ejections += 1;
    }

    /// Takes a signal into its failure rate.
    pub fn record(&mut self, signal: HealthSignal) {
        smooth(&mut self.failure_rate, signal.failure(), signal.weight());
    }
}
