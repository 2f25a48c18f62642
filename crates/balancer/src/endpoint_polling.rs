//! The schedule by which a node polls the endpoint list, if discovery does not push it (settings
//! key `RegistryMode: ask`).

use crate::Settings;
use crate::backoff::Backoff;
use crate::numeric::Random;
use std::time::Duration;

/// The first wait after a failed call, and the least time between a call that opens a watch and the
/// next call if that watch breaks. A node counts as notified of a change 6 s after the watch that
/// missed the change stopped sending, and most of these 6 s pass before the node notices that.
const FIRST_BACKOFF: Duration = Duration::from_millis(500);
/// The longest wait after a failed call. A node counts as notified of a change 6 s after discovery
/// is reachable again, at any poll interval, and an unanswered call takes most of these 6 s.
const MAX_BACKOFF: Duration = Duration::from_millis(1250);
/// The time without an answer after which the next call is due: the 6 s after which a node counts
/// as notified of a change.
const CALL_TIMEOUT: Duration = Duration::from_secs(6);
/// The fraction of the poll interval over which the first calls are spread, since all nodes may
/// start together.
const FIRST_CALL_SPREAD: f64 = 0.25;
/// How many times per poll interval the schedule is checked, at least.
const CHECKS_PER_INTERVAL: u32 = 64;

/// The schedule of calls to discovery.
pub(crate) struct EndpointPolling {
    interval: Duration,
    /// When to call next; `None` while subscribed.
    next_call: Option<Duration>,
    last_call: Duration,
    backoff: Backoff,
}

impl EndpointPolling {
    /// Returns the schedule of a node that has not started.
    pub(crate) fn new(settings: &Settings) -> Self {
        let interval = settings.rules.poll_interval;
        // A failed call is repeated within the poll interval, however short that is.
        let shortest = FIRST_BACKOFF.min(interval / 16);
        let longest = MAX_BACKOFF.min(interval / 2);
        EndpointPolling {
            interval,
            next_call: None,
            last_call: Duration::ZERO,
            backoff: Backoff::new(shortest, longest),
        }
    }

    /// Schedules the first call of a node that has just started.
    pub(crate) fn start(&mut self, now: Duration, random: &mut Random) {
        let spread = self.interval.mul_f64(random.uniform() * FIRST_CALL_SPREAD);
        self.next_call = Some(now + spread);
    }

    /// Returns whether a call is due now, and schedules the next call for the case that no list
    /// arrives in time.
    pub(crate) fn call_is_due(&mut self, now: Duration) -> bool {
        let is_due = self.next_call.is_some_and(|at| now >= at);
        if is_due {
            self.last_call = now;
            self.next_call = Some(now + CALL_TIMEOUT.min(self.interval / 2));
        }
        is_due
    }

    /// Returns the time between two checks of the schedule, which is short compared to the waits
    /// in it.
    pub(crate) fn check_interval(&self) -> Duration {
        (self.interval / CHECKS_PER_INTERVAL).min(FIRST_BACKOFF / 2)
    }

    /// Schedules the next call after one that failed, or after the end of the subscription.
    ///
    /// If the subscription ended, the wait counts from the call that opened it, so the next call is
    /// usually due at once. A watch may end instead of delivering a change, and discovery handles
    /// the calls of all nodes one after the other, so a wait would use up the 6 s after which the
    /// node counts as notified of the change.
    pub(crate) fn record_failure(&mut self, now: Duration, random: &mut Random) {
        let was_subscribed = self.next_call.is_none();
        let wait_from = if was_subscribed { self.last_call } else { now };
        self.next_call = Some(wait_from + self.backoff.next_wait(random));
    }

    /// Records that discovery has sent a list: the node is subscribed, and no call is due.
    pub(crate) fn record_list(&mut self) {
        self.next_call = None;
        self.backoff.reset();
    }
}
