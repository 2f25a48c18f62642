//! The capacity of an endpoint after its start, as far as rule 4 makes it certain (settings keys
//! `ColdFrom` and `RampTime`): it grows evenly from the initial share to the whole.

use crate::endpoints::Endpoint;
use crate::settings::Rules;
use std::time::Duration;

/// The figures of the rule.
pub struct StartingCapacity {
    /// The fraction of the capacity at the start.
    initial: f64,
    /// The time to full capacity, in seconds.
    window: f64,
}

impl StartingCapacity {
    /// As the rules of the site say.
    pub fn new(rules: &Rules) -> Self {
        StartingCapacity {
            initial: rules.initial_capacity,
            window: rules.slow_start_window.as_secs_f64(),
        }
    }

    /// The fraction of its capacity that the endpoint has for certain.
    pub fn at(&self, endpoint: &Endpoint, now: Duration) -> f64 {
        let Some(started) = endpoint.started else {
            return 1.0;
        };
        let age = now.saturating_sub(started).as_secs_f64();
        let grown = age / self.window.max(1e-6);
        (self.initial + (1.0 - self.initial) * grown).min(1.0)
    }

    /// Whether it has all of its capacity.
    pub fn is_full(&self, endpoint: &Endpoint, now: Duration) -> bool {
        self.at(endpoint, now) >= 1.0
    }
}
