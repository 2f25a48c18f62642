//! Hedged requests: a second attempt once the first has been silent for unusually long (Dean and
//! Barroso, "The Tail at Scale"). Where the settings allow one attempt at a time (settings key
//! `ParallelTries`), the first is given up for the next instead.

use crate::Settings;
use crate::numeric::Seconds;
use crate::requests::PendingRequest;
use std::time::Duration;

/// An attempt is silent after this multiple of the median response time: for exponential response
/// times one in sixteen is.
const SILENT_AFTER_MEDIANS: f64 = 4.0;
/// The part of the delay after which the timer of a hedged request counts as expired.
const TIMER_TOLERANCE: f64 = 0.99;
/// The most attempts of a request in flight at once.
const MAX_PARALLEL: usize = 2;
/// Work beyond this multiple of the mean does not lengthen the delay.
const MAX_RELATIVE_WORK: f64 = 1e3;
/// The time left with which a further attempt is planned, in quarters of the delay before it.
const RETRY_TIME_IN_QUARTER_DELAYS: u32 = 5;

/// How long to wait for an attempt, and when to start another one beside it.
pub(crate) struct AttemptPlan {
    /// When to give the attempt up.
    pub timeout: Duration,
    /// When to start a hedged request beside it, if at all.
    pub hedge_after: Option<Duration>,
}

/// What allows an attempt to be followed by another one.
pub(crate) struct RetryAllowance {
    /// For how long from now a retry would still be allowed, assuming that this attempt may have
    /// run.
    pub retryable_for: Duration,
    /// Whether the retry budget has room for one more attempt.
    pub budget_allows: bool,
}

/// When attempts of a request may follow each other.
pub(crate) struct Hedging {
    parallel_attempts: bool,
    tick: Duration,
}

impl Hedging {
    /// Returns what the settings permit.
    pub(crate) fn new(settings: &Settings) -> Self {
        Hedging {
            parallel_attempts: settings.limits.allow_parallel_attempts,
            tick: settings.tick,
        }
    }

    /// Returns how long an attempt may be silent before a hedged request follows, by the median
    /// response time.
    fn hedge_delay(&self, request: &PendingRequest, median: Seconds) -> Duration {
        let work = request.relative_work.clamp(1.0, MAX_RELATIVE_WORK);
        let delay = median * SILENT_AFTER_MEDIANS * work;
        delay.to_duration().max(2 * self.tick)
    }

    /// Returns whether an attempt may start now, beside those in flight.
    pub(crate) fn allows_attempt(
        &self,
        request: &PendingRequest,
        median: Seconds,
        now: Duration,
    ) -> bool {
        let Some(last) = request.last_in_flight() else {
            return true;
        };
        let delay = self.hedge_delay(request, median);
        let is_silent = now >= last.started + delay.mul_f64(TIMER_TOLERANCE);
        self.parallel_attempts && request.in_flight() < MAX_PARALLEL && is_silent
    }

    /// Plans an attempt that starts now, and keeps time for one more where there may be one.
    ///
    /// Where only one attempt may be in flight, the endpoint mostly goes on working on one that was
    /// given up, so that is put off until the next has just its time.
    pub(crate) fn plan(
        &self,
        request: &PendingRequest,
        median: Seconds,
        allowance: &RetryAllowance,
        now: Duration,
    ) -> AttemptPlan {
        let time_left = request.deadline - now;
        let delay = self.hedge_delay(request, median);
        let has_time =
            allowance.retryable_for > delay && time_left > delay * RETRY_TIME_IN_QUARTER_DELAYS / 4;
        if !(has_time && allowance.budget_allows) {
            return AttemptPlan {
                timeout: time_left,
                hedge_after: None,
            };
        }
        if self.parallel_attempts {
            return AttemptPlan {
                timeout: time_left,
                hedge_after: Some(delay),
            };
        }
        let latest_end = delay.max(time_left - delay);
        AttemptPlan {
            timeout: latest_end.min(allowance.retryable_for),
            hedge_after: None,
        }
    }
}
