//! The capacity that the settings guarantee for an endpoint in slow start (settings keys `ColdFrom`
//! and `RampTime`): it grows linearly from the initial fraction to the whole.

use crate::endpoints::Endpoint;
use crate::numeric::Seconds;
use crate::settings::Rules;
use std::time::Duration;

/// The least slow start window; it keeps a divisor above zero.
const MIN_WINDOW: Seconds = Seconds::new(1e-6);

/// The growth of the capacity of an endpoint in slow start.
pub(crate) struct StartingCapacity {
    /// The fraction of the capacity at the start.
    initial: f64,
    /// The time to full capacity.
    window: Seconds,
}

impl StartingCapacity {
    /// Returns the growth that the rules guarantee.
    pub(crate) fn new(rules: &Rules) -> Self {
        StartingCapacity {
            initial: rules.initial_capacity,
            window: Seconds::from(rules.slow_start_window).max(MIN_WINDOW),
        }
    }

    /// Returns the fraction of its whole capacity that the endpoint has at least.
    pub(crate) fn guaranteed_fraction(&self, endpoint: &Endpoint, now: Duration) -> f64 {
        let Some(started) = endpoint.started else {
            return 1.0;
        };
        let windows = Seconds::from(now.saturating_sub(started)) / self.window;
        (self.initial + (1.0 - self.initial) * windows).min(1.0)
    }

    /// Returns whether the endpoint is warm: it has its whole capacity.
    pub(crate) fn is_warm(&self, endpoint: &Endpoint, now: Duration) -> bool {
        self.guaranteed_fraction(endpoint, now) >= 1.0
    }
}
