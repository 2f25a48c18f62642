//! What a node has seen of response times and of the work of requests: moving averages, no decisions.

use crate::arithmetic::{SMOOTHING, smooth};
use crate::settings::Settings;
use std::time::Duration;

/// Response times, in seconds.
pub(crate) struct ResponseTimes {
    pub(crate) mean: f64,
    pub(crate) median: f64,
    by_class: Vec<f64>,
}

impl ResponseTimes {
    /// Before any response: about half of the latency objectives.
    pub(crate) fn new(settings: &Settings) -> Self {
        let objectives = settings.classes.iter().map(|class| class.latency_objective);
        let shortest = objectives.clone().min().unwrap_or_default().as_secs_f64();
        ResponseTimes {
            mean: shortest / 2.0,
            median: shortest / 4.0,
            by_class: objectives.map(|objective| objective.as_secs_f64() / 2.0).collect(),
        }
    }

    /// The mean time of this class's responses.
    pub(crate) fn class_mean(&self, class: usize) -> f64 {
        self.by_class[class]
    }

    /// A request of this class and relative work was served in this time.
    pub(crate) fn record(&mut self, class: usize, work: f64, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64();
        smooth(&mut self.by_class[class], elapsed, SMOOTHING / 4.0);
        smooth(&mut self.mean, elapsed, SMOOTHING / 4.0);
        // A stochastic median: one step up or down, whichever side of it the response fell.
        let step = if elapsed > self.median * work.max(1.0) { SMOOTHING } else { -SMOOTHING };
        self.median *= 1.0 + step / 4.0;
    }
}

/// The mean of the work that requests declare, in seconds; zero before the first.
#[derive(Default)]
pub(crate) struct DeclaredWork {
    pub(crate) mean: f64,
}

impl DeclaredWork {
    /// Takes in a request's declared work and returns it as a multiple of the mean; 1 where there is none.
    pub(crate) fn record(&mut self, declared: Option<Duration>) -> f64 {
        let work = declared.unwrap_or_default().as_secs_f64();
        if work <= 0.0 {
            return 1.0;
        }
        let weight = if self.mean == 0.0 { 1.0 } else { SMOOTHING / 8.0 };
        smooth(&mut self.mean, work, weight);
        work / self.mean
    }
}
