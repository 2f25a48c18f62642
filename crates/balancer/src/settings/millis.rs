//! Conversion of times in milliseconds, as settings and protocols express them.

use std::time::Duration;

/// The longest time that [`millis`] returns, in microseconds.
const MAX_MICROS: f64 = 1e18;

/// Converts milliseconds to a [`Duration`], rounded to whole microseconds. Numbers out of range are
/// clamped, and `NaN` becomes zero.
pub fn millis(ms: f64) -> Duration {
    Duration::from_micros((ms * 1000.0).round().clamp(0.0, MAX_MICROS) as u64)
}
