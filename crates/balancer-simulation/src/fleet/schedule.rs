//! The queue of future events, in the order of their time. Events with the same time keep the order
//! in which they were added.

use ottertiller_balancer::{EndpointId, Outcome, RequestId, Timer};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

/// An event at a node.
pub(super) enum NodeEvent {
    RequestArrival,
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

/// The scheduled end of an attempt.
pub(super) struct ScheduledAttemptEnd {
    pub(super) id: RequestId,
    pub(super) attempt: usize,
    pub(super) outcome: Outcome,
    pub(super) started: Duration,
}

/// An event for one incarnation of a node.
pub(super) struct ScheduledEvent {
    pub(super) node: usize,
    pub(super) incarnation: u32,
    pub(super) event: NodeEvent,
}

/// The queue of future events.
#[derive(Default)]
pub(super) struct Schedule {
    /// The time and the sequence number of each event, the earliest first.
    times: BinaryHeap<Reverse<(Duration, u64)>>,
    /// The events by sequence number.
    events: BTreeMap<u64, ScheduledEvent>,
    last_sequence_number: u64,
}

impl Schedule {
    /// Adds an event at this time.
    pub(super) fn add(&mut self, at: Duration, event: ScheduledEvent) {
        self.last_sequence_number += 1;
        self.times.push(Reverse((at, self.last_sequence_number)));
        self.events.insert(self.last_sequence_number, event);
    }

    /// Removes and returns the next event and its time, unless it is after `end`.
    pub(super) fn next_until(&mut self, end: Duration) -> Option<(Duration, ScheduledEvent)> {
        let Reverse((at, number)) = self.times.peek().copied().filter(|next| next.0.0 <= end)?;
        self.times.pop();
        let event = self
            .events
            .remove(&number)
            .expect("a scheduled time has no event");
        Some((at, event))
    }
}
