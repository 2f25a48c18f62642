//! The sends to one endpoint, as Join-Up-To(m) counts them (`routing/join_up_to.rs`).

use std::time::Duration;

/// The node's own sends to an endpoint since that last showed idle.
#[derive(Clone, Copy, Default)]
pub(crate) struct SendCount {
    since_idle: u32,
    /// When the endpoint last showed idle.
    idle_at: Option<Duration>,
}

impl SendCount {
    /// Returns the count of a newly listed endpoint. At zero, all nodes would join it at once.
    pub(crate) fn starting_at(since_idle: u32) -> Self {
        SendCount {
            since_idle,
            idle_at: None,
        }
    }

    /// Returns the own sends since the endpoint last showed idle.
    pub(crate) fn since_idle(&self) -> u32 {
        self.since_idle
    }

    /// Returns when the endpoint last showed idle.
    pub(crate) fn idle_at(&self) -> Option<Duration> {
        self.idle_at
    }

    /// Counts a send.
    pub(crate) fn increment(&mut self) {
        self.since_idle += 1;
    }

    /// Resets the count after an idle signal. The `in_flight` own attempts may have arrived after
    /// it, and stay counted. Returns whether the count fell.
    pub(crate) fn reset(&mut self, in_flight: u32, now: Duration) -> bool {
        self.idle_at = Some(now);
        let falls = self.since_idle > in_flight;
        if falls {
            self.since_idle = in_flight;
        }
        falls
    }
}
