//! The send count of one endpoint for Join-Up-To(m) (`routing/join_up_to.rs`).

use std::time::Duration;

/// The number of attempts that this node has sent to an endpoint since the last idle signal.
#[derive(Clone, Copy, Default)]
pub(crate) struct SendCount {
    since_idle: u32,
    /// When the last idle signal arrived.
    idle_at: Option<Duration>,
}

impl SendCount {
    /// Returns the initial count of a newly listed endpoint. If it were zero, all nodes would send
    /// to the endpoint at once.
    pub(crate) fn starting_at(since_idle: u32) -> Self {
        SendCount {
            since_idle,
            idle_at: None,
        }
    }

    /// Returns the number of sends since the last idle signal.
    pub(crate) fn since_idle(&self) -> u32 {
        self.since_idle
    }

    /// Returns when the last idle signal arrived.
    pub(crate) fn idle_at(&self) -> Option<Duration> {
        self.idle_at
    }

    /// Counts a send.
    pub(crate) fn increment(&mut self) {
        self.since_idle += 1;
    }

    /// Resets the count after an idle signal. This node's `in_flight` attempts may have reached the
    /// endpoint after it sent the signal, and stay counted. Returns whether the count decreased.
    pub(crate) fn reset(&mut self, in_flight: u32, now: Duration) -> bool {
        self.idle_at = Some(now);
        let decreases = self.since_idle > in_flight;
        if decreases {
            self.since_idle = in_flight;
        }
        decreases
    }
}
