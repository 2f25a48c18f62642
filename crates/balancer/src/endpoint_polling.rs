//! When the endpoint list is polled, where the site does not push it (settings key `RegistryMode:
//! ask`).

use crate::Settings;
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

/// The schedule of calls to discovery.
pub struct EndpointPolling {
    interval: Duration,
    /// When to call next; `None` while subscribed.
    next_call: Option<Duration>,
    last_call: Duration,
    backoff: Duration,
}

impl EndpointPolling {
    /// Before the first call.
    pub fn new(settings: &Settings) -> Self {
        let interval = settings.rules.poll_interval;
        let (last_call, backoff) = (Duration::ZERO, Duration::ZERO);
        EndpointPolling {
            interval,
            next_call: None,
            last_call,
            backoff,
        }
    }

    /// Schedules the first call of a node that has just started.
    pub fn start(&mut self, now: Duration, random: &mut Random) {
        self.next_call = Some(now + self.interval.mul_f64(random.unit() * FIRST_CALL_SPREAD));
    }

    /// Whether to call now. The call counts as unanswered if there is no list in time.
    pub fn call_is_due(&mut self, now: Duration) -> bool {
        let due = self.next_call.is_some_and(|at| now >= at);
        if due {
            self.last_call = now;
            self.next_call = Some(now + CALL_TIMEOUT.min(self.interval / 2));
        }
        due
    }

    /// The time between two looks at the schedule, short against every wait in it.
    pub fn check_interval(&self) -> Duration {
        (self.interval / 64).min(FIRST_BACKOFF / 2)
    }

    /// A call failed: calls again after an exponential backoff with jitter. If the subscription
    /// broke, the wait counts from the call that opened it: a watch may end in place of a change,
    /// and discovery works through the calls of all nodes one after the other, so that none of the
    /// time until the change counts as known is there to be waited out.
    pub fn on_failure(&mut self, now: Duration, random: &mut Random) {
        let was_subscribed = self.next_call.is_none();
        let wait_from = if was_subscribed { self.last_call } else { now };
        let shortest = FIRST_BACKOFF.min(self.interval / 16);
        let longest = MAX_BACKOFF.min(self.interval / 2);
        self.backoff = (2 * self.backoff).clamp(shortest, longest);
        let jitter = 0.5 + random.unit() / 2.0;
        self.next_call = Some(wait_from + self.backoff.mul_f64(jitter));
    }

    /// Discovery answered.
    pub fn on_list(&mut self) {
        self.next_call = None;
        self.backoff = Duration::ZERO;
    }
}
