//! Times as the settings and the protocols write them.

use std::time::Duration;

/// The longest time that is told apart, in microseconds.
const LONGEST_US: f64 = 1e18;

/// Converts a number of milliseconds to a [`Duration`], in whole microseconds. Numbers out of range
/// are clamped, and `NaN` becomes zero.
pub fn millis(ms: f64) -> Duration {
    Duration::from_micros((ms * 1000.0).round().clamp(0.0, LONGEST_US) as u64)
}
