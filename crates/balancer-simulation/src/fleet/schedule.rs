//! What is due and when, in the order of time; what is due at one moment, in the order in which it
//! was added.

use ottertiller_balancer::{EndpointId, Outcome, RequestId, Timer};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

/// Something that happens to a node.
pub enum Due {
    Arrival,
    Timer(Timer),
    AttemptEnd {
        id: RequestId,
        attempt: usize,
        outcome: Outcome,
        started: Duration,
    },
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

/// Something that is due at a node in that run of it.
pub struct Scheduled {
    pub node: usize,
    pub run: u32,
    pub due: Due,
}

#[derive(Default)]
pub struct Schedule {
    times: BinaryHeap<Reverse<(Duration, u64)>>,
    scheduled: BTreeMap<u64, Scheduled>,
    added: u64,
}

impl Schedule {
    pub fn add(&mut self, at: Duration, scheduled: Scheduled) {
        self.added += 1;
        self.times.push(Reverse((at, self.added)));
        self.scheduled.insert(self.added, scheduled);
    }

    /// Takes out what is due next, unless that is after `end`.
    pub fn next_until(&mut self, end: Duration) -> Option<(Duration, Scheduled)> {
        let Reverse((at, number)) = self.times.peek().copied().filter(|next| next.0.0 <= end)?;
        self.times.pop();
        let scheduled = self.scheduled.remove(&number).expect("something scheduled");
        Some((at, scheduled))
    }
}
