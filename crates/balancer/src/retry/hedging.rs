//! Hedged requests: a second attempt starts if the first has had no response for unusually long
//! (Dean and Barroso, "The Tail at Scale"). If the settings allow parallel attempts (settings key
//! `ParallelTries`), the second one starts beside the first after the hedge delay. Otherwise the
//! first is abandoned before the second starts, and as late as possible.

use crate::Settings;
use crate::numeric::Seconds;
use crate::requests::PendingRequest;
use std::time::Duration;

/// The delay of a hedged request, as a multiple of the median response time. If response times are
/// exponentially distributed, one response in sixteen takes longer.
const DELAY_IN_MEDIANS: f64 = 4.0;
/// The fraction of the delay after which the delay counts as over. The delay is calculated again
/// when its timer fires, and may have grown by about 1 % with the median without preventing the
/// hedged request.
const EXPIRED_DELAY_FRACTION: f64 = 0.99;
/// The maximum number of attempts of a request in flight at once.
const MAX_PARALLEL_ATTEMPTS: usize = 2;
/// The maximum multiple of the mean work that lengthens the delay.
const MAX_RELATIVE_WORK: f64 = 1e3;
/// A further attempt is planned only if more time than this is left until the deadline, in quarters
/// of the delay: a whole delay for the present attempt, and a quarter for the further one.
const MIN_TIME_LEFT_IN_QUARTER_DELAYS: u32 = 5;

/// How long to wait for an attempt, and when to start another one beside it.
pub(crate) struct AttemptPlan {
    /// The time after which the attempt is abandoned.
    pub timeout: Duration,
    /// The time after which a hedged request starts, if there may be one.
    pub hedge_after: Option<Duration>,
}

/// Whether an attempt may be followed by another one.
pub(crate) struct RetryAllowance {
    /// For how long from now it is safe to repeat the request, given that this attempt may have
    /// run: without limit if the request is idempotent, not at all if it is not, and for a keyed
    /// request as long as endpoints recognize the idempotency key, less a margin.
    pub retryable_for: Duration,
    /// Whether the retry budget has room for one more attempt.
    pub budget_allows: bool,
}

/// Plans the attempts of a request that follow each other.
pub(crate) struct Hedging {
    parallel_attempts: bool,
    tick: Duration,
}

impl Hedging {
    /// Returns the hedging that the settings permit.
    pub(crate) fn new(settings: &Settings) -> Self {
        Hedging {
            parallel_attempts: settings.limits.allow_parallel_attempts,
            tick: settings.tick,
        }
    }

    /// Returns how long an attempt may take before a hedged request follows, given the median
    /// response time.
    fn hedge_delay(&self, request: &PendingRequest, median: Seconds) -> Duration {
        let work = request.relative_work.clamp(1.0, MAX_RELATIVE_WORK);
        let delay = median * DELAY_IN_MEDIANS * work;
        delay.to_duration().max(2 * self.tick)
    }

    /// Returns whether an attempt at a request may start now, given its attempts in flight.
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
        let delay_is_over = now >= last.started + delay.mul_f64(EXPIRED_DELAY_FRACTION);
        self.parallel_attempts && request.in_flight() < MAX_PARALLEL_ATTEMPTS && delay_is_over
    }

    /// Plans an attempt that starts now, and reserves time for one more if there may be one.
    ///
    /// If attempts may be parallel, the next one starts one hedge delay after this one, which
    /// continues until the deadline.
    ///
    /// If only one attempt may be in flight, this one must be abandoned before the next starts. Its
    /// endpoint usually continues to work on it, so it is abandoned as late as possible: one hedge
    /// delay before the deadline, or at the end of the time in which a retry is allowed if that is
    /// earlier. It gets at least one hedge delay, so if less than two are left until the deadline,
    /// the next attempt gets less than one.
    pub(crate) fn plan(
        &self,
        request: &PendingRequest,
        median: Seconds,
        allowance: &RetryAllowance,
        now: Duration,
    ) -> AttemptPlan {
        let time_left = request.deadline - now;
        let delay = self.hedge_delay(request, median);
        let has_time = allowance.retryable_for > delay
            && time_left > delay * MIN_TIME_LEFT_IN_QUARTER_DELAYS / 4;
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
