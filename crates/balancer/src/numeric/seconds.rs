//! Times as floating-point seconds.

use super::moving_average::smooth;
use std::ops::{Div, Mul, Sub};
use std::time::Duration;

/// An estimated time, or the difference of two times, in seconds.
///
/// Estimates use this type because a moving average of [`Duration`]s would be rounded to
/// nanoseconds at each step.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub(crate) struct Seconds(f64);

impl Seconds {
    /// Zero seconds.
    pub(crate) const ZERO: Seconds = Seconds(0.0);

    /// Returns a time of this many seconds.
    pub(crate) const fn new(seconds: f64) -> Self {
        Seconds(seconds)
    }

    /// Returns the number of seconds.
    pub(crate) fn as_f64(self) -> f64 {
        self.0
    }

    /// Returns the time as a [`Duration`].
    ///
    /// # Panics
    ///
    /// Panics if the time is negative, not finite, or too long for a [`Duration`].
    pub(crate) fn to_duration(self) -> Duration {
        Duration::from_secs_f64(self.0)
    }

    /// Returns the longer of two times.
    pub(crate) fn max(self, other: Seconds) -> Self {
        Seconds(self.0.max(other.0))
    }

    /// Updates this exponentially weighted moving average with an observation of this weight.
    pub(crate) fn smooth(&mut self, observed: Seconds, weight: f64) {
        smooth(&mut self.0, observed.0, weight);
    }
}

impl From<Duration> for Seconds {
    fn from(time: Duration) -> Self {
        Seconds(time.as_secs_f64())
    }
}

impl Sub for Seconds {
    type Output = Seconds;

    fn sub(self, other: Seconds) -> Seconds {
        Seconds(self.0 - other.0)
    }
}

impl Mul<f64> for Seconds {
    type Output = Seconds;

    fn mul(self, factor: f64) -> Seconds {
        Seconds(self.0 * factor)
    }
}

impl Div<f64> for Seconds {
    type Output = Seconds;

    fn div(self, divisor: f64) -> Seconds {
        Seconds(self.0 / divisor)
    }
}

impl Div for Seconds {
    type Output = f64;

    fn div(self, other: Seconds) -> f64 {
        self.0 / other.0
    }
}
