//! The node's clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A clock that shows the Unix time read at the start plus the monotonic time since then.
///
/// The wall clock is read only at the start. That reading makes an endpoint's `since_ms`, which is
/// Unix time, comparable with the times of the node's events. All deadlines, windows, waits and
/// ages are differences between times of this clock. They are monotonic, so a step of the wall
/// clock does not change them. If an endpoint's wall clock differs from this reading by a step, its
/// `since_ms` is off by that step. The balancer therefore bounds the age of an endpoint by when the
/// endpoint was first seen in the list, a time that does not depend on the wall clock.
#[derive(Clone, Copy)]
pub(crate) struct Clock {
    started: Instant,
    unix_time_at_start: Duration,
}

impl Clock {
    /// Starts a clock at the current Unix time.
    pub(crate) fn start() -> Self {
        let unix_time_at_start = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: Instant::now(),
            unix_time_at_start,
        }
    }

    /// Returns the time since the Unix epoch.
    pub(crate) fn now(self) -> Duration {
        self.unix_time_at_start + self.started.elapsed()
    }

    /// Converts a time of this clock to an instant of the async runtime.
    pub(crate) fn instant(self, time: Duration) -> Instant {
        self.started + time.saturating_sub(self.unix_time_at_start)
    }
}
