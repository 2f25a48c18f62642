//! The mean work that requests declare in their cost hints.

use crate::numeric::{SLOW_SMOOTHING, Seconds};
use std::time::Duration;

/// The moving average of the work that requests declare.
#[derive(Default)]
pub(crate) struct DeclaredWork {
    mean: Seconds,
}

impl DeclaredWork {
    /// Returns the mean declared work; `None` before the first request that declares any.
    pub(crate) fn mean(&self) -> Option<Seconds> {
        (self.mean > Seconds::ZERO).then_some(self.mean)
    }

    /// Records the declared work of a request, and returns it as a multiple of the mean. Returns 1
    /// if the request declares none.
    pub(crate) fn record(&mut self, declared: Option<Duration>) -> f64 {
        let work = Seconds::from(declared.unwrap_or_default());
        if work <= Seconds::ZERO {
            return 1.0;
        }
        let weight = if self.mean == Seconds::ZERO {
            1.0
        } else {
            SLOW_SMOOTHING
        };
        self.mean.smooth(work, weight);
        work / self.mean
    }
}
