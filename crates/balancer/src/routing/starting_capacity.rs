//! The capacity of an endpoint after its start, as far as the settings make it certain (settings
//! keys `ColdFrom` and `RampTime`): it grows evenly from the initial share to the whole.

use crate::endpoints::Endpoint;
use crate::numeric::Seconds;
use crate::settings::Rules;
use std::time::Duration;

/// The least time to full capacity.
const MIN_WINDOW: Seconds = Seconds::new(1e-6);

/// The growth of a starting endpoint's capacity.
pub(crate) struct StartingCapacity {
    /// The fraction of the capacity at the start.
    initial: f64,
    /// The time to full capacity.
    window: Seconds,
}

impl StartingCapacity {
    /// Returns the growth that the rules promise.
    pub(crate) fn new(rules: &Rules) -> Self {
        StartingCapacity {
            initial: rules.initial_capacity,
            window: Seconds::from(rules.slow_start_window).max(MIN_WINDOW),
        }
    }

    /// Returns the fraction of its capacity that the endpoint has for certain.
    pub(crate) fn at(&self, endpoint: &Endpoint, now: Duration) -> f64 {
        let Some(started) = endpoint.started else {
            return 1.0;
        };
        let grown = Seconds::from(now.saturating_sub(started)) / self.window;
        (self.initial + (1.0 - self.initial) * grown).min(1.0)
    }

    /// Returns whether the endpoint is warm: it has all of its capacity.
    pub(crate) fn is_full(&self, endpoint: &Endpoint, now: Duration) -> bool {
        self.at(endpoint, now) >= 1.0
    }
}
