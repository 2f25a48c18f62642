//! The node's clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Unix time as it was at the start, continued by the monotonic clock.
///
/// The wall clock is read once, at the start, and serves one purpose: to put an endpoint's
/// `since_ms` on the scale of events. All deadlines, windows, waits and ages are differences on
/// that scale, and so spans of monotonic time, which a step of the wall clock does not change. If
/// an endpoint's wall clock was stepped against this reading, its `since_ms` is off by that step,
/// so the balancer accepts it only within what the node knows without the wall clock.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    unix_time_at_start: Duration,
}

impl Clock {
    /// Starts a clock that shows the present Unix time.
    pub fn start() -> Self {
        let unix_time_at_start = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: Instant::now(),
            unix_time_at_start,
        }
    }

    /// Returns the time since the Unix epoch.
    pub fn now(self) -> Duration {
        self.unix_time_at_start + self.started.elapsed()
    }

    /// Returns the instant of the runtime at which this clock shows `time`.
    pub fn instant(self, time: Duration) -> Instant {
        self.started + time.saturating_sub(self.unix_time_at_start)
    }
}
