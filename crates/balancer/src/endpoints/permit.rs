//! An endpoint's permit for one request while it starts (`routing/slow_start.rs` issues it).

use std::time::Duration;

/// A permit that an endpoint has or lacks, and when it was last drawn for.
#[derive(Clone, Copy, Default)]
pub(crate) struct Permit {
    /// When the permit expires; in the past if there is none.
    expires: Duration,
    drawn_at: Duration,
}

impl Permit {
    /// Returns no permit. The first draw counts the time from `now`.
    pub(crate) fn none(now: Duration) -> Self {
        Permit {
            expires: Duration::ZERO,
            drawn_at: now,
        }
    }

    /// Returns whether there is a permit.
    pub(crate) fn is_valid(&self, now: Duration) -> bool {
        self.expires > now
    }

    /// Returns the time since the last draw.
    pub(crate) fn since_draw(&self, now: Duration) -> Duration {
        now.saturating_sub(self.drawn_at)
    }

    /// Records a draw. One that is won gives a permit of this lifetime, unless there is one
    /// already.
    pub(crate) fn record_draw(&mut self, won: bool, lifetime: Duration, now: Duration) {
        if won && !self.is_valid(now) {
            self.expires = now + lifetime;
        }
        self.drawn_at = now;
    }

    /// Uses the permit for a request.
    pub(crate) fn consume(&mut self) {
        self.expires = Duration::ZERO;
    }
}
