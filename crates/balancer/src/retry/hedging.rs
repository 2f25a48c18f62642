//! Hedged requests: a second attempt once the first has been silent for unusually long (Dean and
//! Barroso, "The Tail at Scale"). Where the site allows one attempt at a time (settings key
//! `ParallelTries`), the first is given up for the next instead.

use crate::Settings;
use crate::requests::PendingRequest;
use std::time::Duration;

/// An attempt is silent after this multiple of the median response time: for exponential response
/// times one in sixteen is.
const SILENT_AFTER_MEDIANS: f64 = 4.0;
/// The timer of a hedged request is in time even if it comes this part of the wait too early.
const TIMER_TOLERANCE: f64 = 0.99;
/// The most attempts of a request in flight at once.
const MAX_PARALLEL: usize = 2;
/// Work beyond this multiple of the mean does not lengthen the delay.
const MAX_RELATIVE_WORK: f64 = 1e3;

/// How long to wait for an attempt, and when to start another one beside it.
pub struct AttemptPlan {
    /// When to give the attempt up.
    pub timeout: Duration,
    /// When to start a hedged one beside it, if at all.
    pub hedge_after: Option<Duration>,
}

/// When attempts of a request may follow each other.
pub struct Hedging {
    parallel_attempts: bool,
    tick: Duration,
}

impl Hedging {
    /// As the site permits.
    pub fn new(settings: &Settings) -> Self {
        Hedging {
            parallel_attempts: settings.limits.parallel_attempts,
            tick: settings.tick,
        }
    }

    /// How long an attempt may be silent before a hedged one follows, by the median response time
    /// in seconds.
    fn hedge_delay(&self, request: &PendingRequest, median: f64) -> Duration {
        let work = request.relative_work.clamp(1.0, MAX_RELATIVE_WORK);
        Duration::from_secs_f64(SILENT_AFTER_MEDIANS * median * work).max(2 * self.tick)
    }

    /// Whether an attempt may start now, beside those in flight.
    pub fn allows_attempt(&self, request: &PendingRequest, median: f64, now: Duration) -> bool {
        let Some(last) = request.last_in_flight() else {
            return true;
        };
        let silent_at = last.started + self.hedge_delay(request, median).mul_f64(TIMER_TOLERANCE);
        self.parallel_attempts && request.in_flight() < MAX_PARALLEL && now >= silent_at
    }

    /// Keeps time for one more attempt where there may be one. Where only one may be in flight, the
    /// endpoint mostly goes on working on an attempt given up, so that is put off until the next
    /// has just its time. `retryable_for` is how long the request may be sent again once this
    /// attempt may have run.
    pub fn plan(
        &self,
        request: &PendingRequest,
        median: f64,
        retryable_for: Duration,
        budget_allows: bool,
        now: Duration,
    ) -> AttemptPlan {
        let time_left = request.deadline - now;
        let hedge_delay = self.hedge_delay(request, median);
        let has_time = retryable_for > hedge_delay && time_left > hedge_delay * 5 / 4;
        if !(has_time && budget_allows) {
            return AttemptPlan {
                timeout: time_left,
                hedge_after: None,
            };
        }
        if self.parallel_attempts {
            return AttemptPlan {
                timeout: time_left,
                hedge_after: Some(hedge_delay),
            };
        }
        let timeout = hedge_delay.max(time_left - hedge_delay).min(retryable_for);
        AttemptPlan {
            timeout,
            hedge_after: None,
        }
    }
}
