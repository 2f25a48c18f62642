use super::*;

const SHORT_CALL: Duration = Duration::ZERO;
const LONG_CALL: Duration = Duration::from_secs(5);

/// Returns whether a wait is `full` with jitter: between half of it and all of it.
fn is_jittered(wait: Duration, full: Duration) -> bool {
    wait >= full / 2 && wait <= full
}

#[test]
fn waits_double_up_to_the_maximum_and_reset_after_a_long_call() {
    let mut backoff = ReconnectBackoff::new(Duration::from_millis(300), 7);
    for full in [100, 200, 300, 300] {
        let wait = backoff.next_wait(SHORT_CALL);
        assert!(
            is_jittered(wait, Duration::from_millis(full)),
            "{wait:?} of {full} ms"
        );
    }
    assert_eq!(backoff.next_wait(LONG_CALL), Duration::ZERO);
    backoff.next_wait(SHORT_CALL);
    backoff.reset();
    assert!(is_jittered(backoff.next_wait(SHORT_CALL), INITIAL_WAIT));
}

#[test]
fn max_wait_is_a_quarter_of_the_drain_grace_within_its_bounds() {
    assert_eq!(max_wait(Duration::ZERO), MAX_WAIT_LOWER_BOUND);
    assert_eq!(max_wait(Duration::from_secs(2)), Duration::from_millis(500));
    assert_eq!(max_wait(Duration::from_secs(60)), MAX_WAIT_UPPER_BOUND);
}
