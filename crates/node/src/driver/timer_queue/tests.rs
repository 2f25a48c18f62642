use super::{DriverTimer, TimerQueue};
use ottertiller_balancer::RequestId;
use std::time::Duration;

const EARLY: Duration = Duration::from_millis(1);
const LATE: Duration = Duration::from_millis(2);

fn deadline(id: u64) -> DriverTimer {
    DriverTimer::Deadline(RequestId(id))
}

/// Fires all timers that are due by `now`, and returns their requests.
fn fire_due_timers(queue: &mut TimerQueue, now: Duration) -> Vec<u64> {
    std::iter::from_fn(|| queue.pop_due(now))
        .filter_map(|(_, timer)| timer.request())
        .map(|id| id.0)
        .collect()
}

#[test]
fn timers_due_together_fire_in_the_order_of_setting() {
    let mut queue = TimerQueue::default();
    queue.set(LATE, deadline(3));
    queue.set(EARLY, deadline(1));
    queue.set(EARLY, deadline(2));
    queue.set(LATE, deadline(4));
    assert_eq!(fire_due_timers(&mut queue, LATE), [1, 2, 3, 4]);
    assert_eq!(queue.len(), 0);
}

#[test]
fn a_timer_fires_when_it_is_due_and_not_before() {
    let mut queue = TimerQueue::default();
    queue.set(LATE, deadline(1));
    assert_eq!(queue.next_due(), Some(LATE));
    assert!(queue.pop_due(EARLY).is_none());
    assert_eq!(fire_due_timers(&mut queue, LATE), [1]);
    assert_eq!(queue.next_due(), None);
}

#[test]
fn a_removed_timer_does_not_fire() {
    let mut queue = TimerQueue::default();
    let removed = queue.set(EARLY, deadline(1));
    queue.set(EARLY, deadline(2));
    queue.remove(removed);
    assert_eq!(fire_due_timers(&mut queue, EARLY), [2]);
}
