//! Estimates of response times.

use crate::Settings;
use crate::numeric::{SMOOTHING, smooth};
use std::time::Duration;

/// Response times, in seconds.
pub struct ResponseTimes {
    /// Over all classes.
    pub mean: f64,
    /// Of a request of mean work.
    pub median: f64,
    by_class: Vec<f64>,
}

impl ResponseTimes {
    /// Before any response: about half of the latency objectives.
    pub fn new(settings: &Settings) -> Self {
        let objectives = settings.classes.iter().map(|class| class.latency_objective);
        let shortest = objectives.clone().min().unwrap_or_default().as_secs_f64();
        ResponseTimes {
            mean: shortest / 2.0,
            median: shortest / 4.0,
            by_class: objectives
                .map(|objective| objective.as_secs_f64() / 2.0)
                .collect(),
        }
    }

    /// The mean time of this class's responses.
    pub fn class_mean(&self, class: usize) -> f64 {
        self.by_class[class]
    }

    /// A request of this class and relative work was served in this time.
    pub fn record(&mut self, class: usize, work: f64, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64();
        smooth(&mut self.by_class[class], elapsed, SMOOTHING / 4.0);
        smooth(&mut self.mean, elapsed, SMOOTHING / 4.0);
        // A stochastic median: one step up or down, whichever side of it the response fell.
        let step = if elapsed > self.median * work.max(1.0) {
            SMOOTHING
        } else {
            -SMOOTHING
        };
        self.median *= 1.0 + step / 4.0;
    }
}
