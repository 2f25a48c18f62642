//! The permit to send one request to an endpoint in slow start. `routing/slow_start.rs` issues
//! permits by random draws.

use std::time::Duration;

/// The permit of one endpoint, if it has one, and the time of the last random draw for it.
#[derive(Clone, Copy, Default)]
pub(crate) struct Permit {
    /// When the permit expires; in the past if there is none.
    expires: Duration,
    /// When the last draw took place.
    drawn_at: Duration,
}

impl Permit {
    /// Returns the state without a permit. The first draw covers the time since `now`.
    pub(crate) fn none(now: Duration) -> Self {
        Permit {
            expires: Duration::ZERO,
            drawn_at: now,
        }
    }

    /// Returns whether there is a permit that has not expired.
    pub(crate) fn is_valid(&self, now: Duration) -> bool {
        self.expires > now
    }

    /// Returns the time since the last draw.
    pub(crate) fn since_draw(&self, now: Duration) -> Duration {
        now.saturating_sub(self.drawn_at)
    }

    /// Records a draw. If `granted`, the endpoint gets a permit with this lifetime, unless it
    /// already has a valid one.
    pub(crate) fn record_draw(&mut self, granted: bool, lifetime: Duration, now: Duration) {
        if granted && !self.is_valid(now) {
            self.expires = now + lifetime;
        }
        self.drawn_at = now;
    }

    /// Uses the permit for a request.
    pub(crate) fn consume(&mut self) {
        self.expires = Duration::ZERO;
    }
}
