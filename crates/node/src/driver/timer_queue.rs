//! The driver's timers, in the order in which they fire.

use crate::message::AttemptId;
use ottertiller_balancer::{RequestId, Timer};
use std::collections::BTreeMap;
use std::time::Duration;

/// A timer of the driver, by its purpose.
#[derive(Clone, Copy)]
pub(super) enum DriverTimer {
    /// A timer that the balancer has set.
    Balancer(Timer),
    /// The timeout of an attempt.
    AttemptTimeout(AttemptId),
    /// The deadline of a request.
    Deadline(RequestId),
}

impl DriverTimer {
    /// Returns the request to which the timer belongs and with which it is removed. Returns `None`
    /// for a timer that stays until it fires.
    pub(super) fn request(self) -> Option<RequestId> {
        match self {
            DriverTimer::Balancer(Timer::EndpointPolling) => None,
            DriverTimer::Balancer(Timer::Request(id)) | DriverTimer::Deadline(id) => Some(id),
            DriverTimer::AttemptTimeout(id) => Some(id.request),
        }
    }
}

/// Identifies a pending timer. Keys are ordered as the timers fire: by due time, then in the order
/// in which they were set.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TimerKey {
    due: Duration,
    sequence: u64,
}

/// All pending timers.
#[derive(Default)]
pub(super) struct TimerQueue {
    timers: BTreeMap<TimerKey, DriverTimer>,
    last_sequence: u64,
}

impl TimerQueue {
    /// Sets a timer that fires at `due`, a time of the node's clock.
    pub(super) fn set(&mut self, due: Duration, timer: DriverTimer) -> TimerKey {
        self.last_sequence += 1;
        let key = TimerKey {
            due,
            sequence: self.last_sequence,
        };
        self.timers.insert(key, timer);
        key
    }

    /// Removes a timer before it fires. Does nothing if it has fired.
    pub(super) fn remove(&mut self, key: TimerKey) {
        self.timers.remove(&key);
    }

    /// Returns when the next timer is due, or `None` if no timer is pending.
    pub(super) fn next_due(&self) -> Option<Duration> {
        let (key, _) = self.timers.first_key_value()?;
        Some(key.due)
    }

    /// Removes and returns the next timer that is due by `now`.
    pub(super) fn pop_due(&mut self, now: Duration) -> Option<(TimerKey, DriverTimer)> {
        let first = self.timers.first_entry()?;
        if first.key().due > now {
            return None;
        }
        Some(first.remove_entry())
    }

    /// Returns the number of pending timers.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.timers.len()
    }
}

#[cfg(test)]
mod tests;
