//! The work that requests declare in their cost hints.

use crate::numeric::{SMOOTHING, smooth};
use std::time::Duration;

/// The mean of the work that requests declare, in seconds; zero before the first.
#[derive(Default)]
pub struct DeclaredWork {
    /// In seconds.
    pub mean: f64,
}

impl DeclaredWork {
    /// Takes in a request's declared work and returns it as a multiple of the mean; 1 where there
    /// is none.
    pub fn record(&mut self, declared: Option<Duration>) -> f64 {
        let work = declared.unwrap_or_default().as_secs_f64();
        if work <= 0.0 {
            return 1.0;
        }
        let weight = if self.mean == 0.0 {
            1.0
        } else {
            SMOOTHING / 8.0
        };
        smooth(&mut self.mean, work, weight);
        work / self.mean
    }
}
