//! Exponentially weighted moving averages.

/// The weight of one observation in a moving average, which mostly reflects the last eight or so.
pub(crate) const SMOOTHING: f64 = 1.0 / 8.0;
/// The weight of one observation in a slowly changing moving average.
pub(crate) const SLOW_SMOOTHING: f64 = SMOOTHING / 8.0;

/// Updates an exponentially weighted moving average with an observation of this weight.
pub(crate) fn smooth(average: &mut f64, observed: f64, weight: f64) {
    *average += (observed - *average) * weight;
}
