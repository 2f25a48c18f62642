use super::*;

const SHORT: Duration = Duration::ZERO;
const LONG: Duration = Duration::from_secs(5);

/// Whether a wait is between half and all of `full`.
fn is_jittered(wait: Duration, full: Duration) -> bool {
    wait >= full / 2 && wait <= full
}

#[test]
fn waits_double_to_the_longest_and_reset_after_a_long_call() {
    let mut backoff = ReconnectBackoff::new(Duration::from_millis(300), 7);
    for full in [100, 200, 300, 300] {
        let wait = backoff.next_wait(SHORT);
        assert!(
            is_jittered(wait, Duration::from_millis(full)),
            "{wait:?} of {full} ms"
        );
    }
    assert_eq!(backoff.next_wait(LONG), Duration::ZERO);
    backoff.next_wait(SHORT);
    backoff.reset();
    assert!(is_jittered(backoff.next_wait(SHORT), FIRST_WAIT));
}

#[test]
fn the_longest_wait_is_a_bounded_quarter_of_the_drain_grace() {
    assert_eq!(longest_wait(Duration::ZERO), MIN_LONGEST_WAIT);
    assert_eq!(
        longest_wait(Duration::from_secs(2)),
        Duration::from_millis(500)
    );
    assert_eq!(longest_wait(Duration::from_secs(60)), MAX_LONGEST_WAIT);
}
