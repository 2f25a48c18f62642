//! The events to come, in the order of their time. Events of the same time are in the order in
//! which they were added.

use ottertiller_balancer::{EndpointId, Outcome, RequestId, Timer};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

/// An event at a node.
pub(super) enum Due {
    Arrival,
    Timer(Timer),
    AttemptEnd(ScheduledAttemptEnd),
    Restart,
    HealthCheckEnd {
        endpoint: EndpointId,
        started: Duration,
    },
    ListSnapshot,
    ListFailed,
    ClientDisconnect {
        id: RequestId,
    },
}

/// The end of an attempt at a node.
pub(super) struct ScheduledAttemptEnd {
    pub(super) id: RequestId,
    pub(super) attempt: usize,
    pub(super) outcome: Outcome,
    pub(super) started: Duration,
}

/// An event at a node, in one run of it.
pub(super) struct Scheduled {
    pub(super) node: usize,
    pub(super) run: u32,
    pub(super) due: Due,
}

/// The events to come.
#[derive(Default)]
pub(super) struct Schedule {
    times: BinaryHeap<Reverse<(Duration, u64)>>,
    scheduled: BTreeMap<u64, Scheduled>,
    added: u64,
}

impl Schedule {
    /// Adds an event at this time.
    pub(super) fn add(&mut self, at: Duration, scheduled: Scheduled) {
        self.added += 1;
        self.times.push(Reverse((at, self.added)));
        self.scheduled.insert(self.added, scheduled);
    }

    /// Removes and returns the next event and its time, unless it is after `end`.
    pub(super) fn next_until(&mut self, end: Duration) -> Option<(Duration, Scheduled)> {
        let Reverse((at, number)) = self.times.peek().copied().filter(|next| next.0.0 <= end)?;
        self.times.pop();
        let scheduled = self.scheduled.remove(&number).expect("a scheduled event");
        Some((at, scheduled))
    }
}
