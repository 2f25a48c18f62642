//! The virtual time of simulations.

use std::time::Duration;

/// The virtual time at which a simulation starts.
pub(crate) const START: Duration = Duration::from_secs(100);

/// The minimum delay of a timer. A timer never fires at the time at which it is set.
pub(crate) const MIN_TIMER_DELAY: Duration = Duration::from_nanos(1);
