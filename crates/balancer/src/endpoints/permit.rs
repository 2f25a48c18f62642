//! An endpoint's permit for one request while it starts (`routing/slow_start.rs` issues it).

use std::time::Duration;

/// At most one permit, and when the last one was drawn for.
#[derive(Clone, Copy, Default)]
pub struct Permit {
    /// When it expires; in the past if there is none.
    expires: Duration,
    drawn_at: Duration,
}

impl Permit {
    /// No permit; the first draw counts the time from `now`.
    pub fn none(now: Duration) -> Self {
        Permit {
            expires: Duration::ZERO,
            drawn_at: now,
        }
    }

    /// Whether there is one.
    pub fn is_valid(&self, now: Duration) -> bool {
        self.expires > now
    }

    /// The time since the last draw.
    pub fn since_draw(&self, now: Duration) -> Duration {
        now.saturating_sub(self.drawn_at)
    }

    /// Takes in a draw: one that is won gives a permit of this lifetime, unless there is one
    /// already.
    pub fn record_draw(&mut self, won: bool, lifetime: Duration, now: Duration) {
        if won && !self.is_valid(now) {
            self.expires = now + lifetime;
        }
        self.drawn_at = now;
    }

    /// The permit was used for a request.
    pub fn consume(&mut self) {
        self.expires = Duration::ZERO;
    }
}
