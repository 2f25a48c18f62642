//! Retries by clients: estimates how long a client has already waited when its request arrives.
//! Work for a client that is past its latency objective has no value and prolongs an overload.
//!
//! A client waits until the deadline of the class, over all its tries together, and
//! [`NewRequest::remaining`] is how long it waits for the present try. If a try may last until the
//! deadline, the time spent is `deadline - remaining`. If clients set a shorter timeout for each
//! try, this holds only once the time left is shorter than that timeout. Until then, it is an upper
//! bound, and a request that is marked as a retry counts as having waited for the shortest known
//! time to a retry, or not at all if none is known.
//!
//! All clients of a class are assumed to use the same timeout for a try: that of the latest first
//! try.

use crate::{NewRequest, Settings};
use std::time::Duration;

/// Two times count as equal if their relative difference is below `1 / TOLERANCE_DIVISOR`.
const TOLERANCE_DIVISOR: u32 = 64;

/// What the requests of clients have shown about their timeouts and retries.
pub(crate) struct ClientRetries {
    /// The deadline of each class.
    deadlines: Vec<Duration>,
    /// How long a client waits for its first try, as of the latest first try of each class; zero
    /// before the first.
    first_try_timeouts: Vec<Duration>,
    /// The shortest time from the first try of a client to its retry, over all classes; `None` if
    /// it is not known yet.
    ///
    /// Only retries in classes whose tries may last until the deadline show this time, which is
    /// then `deadline - remaining`. For retries in the other classes, it is an estimate.
    shortest_time_to_retry: Option<Duration>,
}

impl ClientRetries {
    /// Returns the state before the first request.
    pub(crate) fn new(settings: &Settings) -> Self {
        ClientRetries {
            deadlines: settings
                .classes
                .iter()
                .map(|class| class.deadline)
                .collect(),
            first_try_timeouts: vec![Duration::ZERO; settings.classes.len()],
            shortest_time_to_retry: None,
        }
    }

    /// Records a new request, and returns an estimate of the time that its client has already
    /// waited.
    pub(crate) fn time_spent(&mut self, request: &NewRequest, class: usize) -> Duration {
        let deadline = self.deadlines[class];
        if !request.client_retry {
            self.first_try_timeouts[class] = request.remaining;
        }
        let timeout = self.first_try_timeouts[class];
        let spent = deadline.saturating_sub(request.remaining);
        let try_may_last_until_deadline = timeout + deadline / TOLERANCE_DIVISOR >= deadline;
        if request.client_retry && try_may_last_until_deadline {
            let shortest = self
                .shortest_time_to_retry
                .map_or(spent, |shortest| shortest.min(spent));
            self.shortest_time_to_retry = Some(shortest);
        }
        let has_full_timeout = request.remaining.abs_diff(timeout) < timeout / TOLERANCE_DIVISOR;
        if !has_full_timeout {
            return spent;
        }
        // The client waits for a whole timeout, so the time left until its deadline may be longer
        // than `remaining`, and `spent` is only an upper bound. A first try has the timeout that
        // was recorded above, and its client has not waited. While the time to a retry is unknown,
        // a retry counts as not having waited either.
        match self.shortest_time_to_retry {
            Some(time_to_retry) if request.client_retry => time_to_retry.min(spent),
            _ => Duration::ZERO,
        }
    }
}
