//! The virtual time of simulations.

use std::time::Duration;

/// The virtual time at which a simulation starts.
pub(crate) const START: Duration = Duration::from_secs(100);

/// The shortest time after which a timer fires. A timer never fires in the round that sets it.
pub(crate) const SHORTEST_TIMER: Duration = Duration::from_nanos(1);
