//! When the endpoint list is polled, where discovery does not push it (settings key `RegistryMode:
//! ask`).

use crate::Settings;
use crate::backoff::Backoff;
use crate::numeric::Random;
use std::time::Duration;

/// The first wait after a failed call, and the least time between a call and the one after the
/// watch that it opened has broken. A node is taken to know of a change 6 s after the watch that
/// missed it fell silent, and most of that passes before the silence is noticed.
const FIRST_BACKOFF: Duration = Duration::from_millis(500);
/// The longest wait after a failed call. A node is taken to know of a change 6 s after discovery is
/// reachable again, however long the poll interval is, and a call that is not answered takes most
/// of that.
const MAX_BACKOFF: Duration = Duration::from_millis(1250);
/// How long a call may go unanswered before the next one: no longer than those 6 s.
const CALL_TIMEOUT: Duration = Duration::from_secs(6);
/// Nodes may all have started together: the first calls spread over this part of the poll interval.
const FIRST_CALL_SPREAD: f64 = 0.25;

/// How many times within the poll interval, at least, the schedule is looked at.
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

    /// Returns whether to call now. The call counts as unanswered if there is no list in time.
    pub(crate) fn call_is_due(&mut self, now: Duration) -> bool {
        let is_due = self.next_call.is_some_and(|at| now >= at);
        if is_due {
            self.last_call = now;
            self.next_call = Some(now + CALL_TIMEOUT.min(self.interval / 2));
        }
        is_due
    }

    /// Returns the time between two looks at the schedule, which is short against every wait in it.
    pub(crate) fn check_interval(&self) -> Duration {
        (self.interval / CHECKS_PER_INTERVAL).min(FIRST_BACKOFF / 2)
    }

    /// Schedules the next call after one that failed, or after the end of the subscription.
    ///
    /// If the subscription ended, the wait counts from the call that opened it: a watch may end in
    /// place of a change, and discovery works through the calls of all nodes one after the other,
    /// so that none of the time until the change counts as known is there to be waited out.
    pub(crate) fn record_failure(&mut self, now: Duration, random: &mut Random) {
        let was_subscribed = self.next_call.is_none();
        let wait_from = if was_subscribed { self.last_call } else { now };
        self.next_call = Some(wait_from + self.backoff.next_wait(random));
    }

    /// Records that discovery has sent a list: the node is subscribed.
    pub(crate) fn record_list(&mut self) {
        self.next_call = None;
        self.backoff.reset();
    }
}
