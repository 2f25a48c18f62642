//! The sends to one endpoint, as Join-Up-To(m) counts them (`routing/join_up_to.rs`).

use std::time::Duration;

/// Own sends since the endpoint last showed idle.
#[derive(Clone, Copy, Default)]
pub struct SendCount {
    since_idle: u32,
    /// When it last showed idle.
    idle_at: Option<Duration>,
}

impl SendCount {
    /// The count of a newly listed endpoint: at zero, all nodes would join it at once.
    pub fn starting_at(since_idle: u32) -> Self {
        SendCount {
            since_idle,
            idle_at: None,
        }
    }

    /// Own sends since it last showed idle.
    pub fn since_idle(&self) -> u32 {
        self.since_idle
    }

    /// When it last showed idle.
    pub fn idle_at(&self) -> Option<Duration> {
        self.idle_at
    }

    /// One more send.
    pub fn increment(&mut self) {
        self.since_idle += 1;
    }

    /// It showed idle but for `in_flight` own attempts, which stay in the count. Returns whether
    /// the count fell.
    pub fn reset(&mut self, in_flight: u32, now: Duration) -> bool {
        self.idle_at = Some(now);
        let falls = self.since_idle > in_flight;
        if falls {
            self.since_idle = in_flight;
        }
        falls
    }
}
