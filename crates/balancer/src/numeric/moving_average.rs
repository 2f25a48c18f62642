//! Exponentially weighted moving averages.

/// The weight of one observation in a moving average: the last handful of observations decide.
pub(crate) const SMOOTHING: f64 = 1.0 / 8.0;
/// The weight of one observation in an average that changes slowly.
pub(crate) const SLOW_SMOOTHING: f64 = SMOOTHING / 8.0;

/// Moves an exponentially weighted average towards an observation of this weight.
pub(crate) fn smooth(average: &mut f64, observed: f64, weight: f64) {
    *average += (observed - *average) * weight;
}
