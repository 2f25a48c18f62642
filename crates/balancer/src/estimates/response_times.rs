//! Estimates of response times.

use crate::Settings;
use crate::numeric::{SMOOTHING, Seconds};
use std::time::Duration;

/// Moving averages and a median of response times.
pub(crate) struct ResponseTimes {
    mean: Seconds,
    median: Seconds,
    mean_by_class: Vec<Seconds>,
}

impl ResponseTimes {
    /// Returns the initial estimates. The mean of a class is half of its latency objective. The
    /// overall mean and median are a half and a quarter of the shortest latency objective.
    pub(crate) fn new(settings: &Settings) -> Self {
        let objectives: Vec<Duration> = settings
            .classes
            .iter()
            .map(|class| class.latency_objective)
            .collect();
        let shortest = objectives.iter().min().copied().unwrap_or_default();
        ResponseTimes {
            mean: Seconds::from(shortest) / 2.0,
            median: Seconds::from(shortest) / 4.0,
            mean_by_class: objectives
                .into_iter()
                .map(|objective| Seconds::from(objective) / 2.0)
                .collect(),
        }
    }

    /// Returns the mean response time over all classes.
    pub(crate) fn mean(&self) -> Seconds {
        self.mean
    }

    /// Returns the median response time of a request with the mean work.
    pub(crate) fn median(&self) -> Seconds {
        self.median
    }

    /// Returns the mean response time of a class, by its index in the settings.
    pub(crate) fn class_mean(&self, class: usize) -> Seconds {
        self.mean_by_class[class]
    }

    /// Records the response time of a served request of this class and relative work.
    pub(crate) fn record(&mut self, class: usize, relative_work: f64, elapsed: Duration) {
        let elapsed = Seconds::from(elapsed);
        self.mean_by_class[class].smooth(elapsed, SMOOTHING / 4.0);
        self.mean.smooth(elapsed, SMOOTHING / 4.0);
        // Estimates the median by stochastic approximation: each response moves it by one step,
        // up if the response took longer and down if not.
        let is_above = elapsed > self.median * relative_work.max(1.0);
        let step = if is_above { SMOOTHING } else { -SMOOTHING };
        self.median = self.median * (1.0 + step / 4.0);
    }
}
