use super::*;

const SHORT: Duration = Duration::ZERO;
const LONG: Duration = Duration::from_secs(5);

/// Whether a pause is between half and all of `full`.
fn is_jittered(pause: Duration, full: Duration) -> bool {
    pause >= full / 2 && pause <= full
}

#[test]
fn pauses_double_up_to_the_longest_and_begin_anew_after_a_call_that_lasted() {
    let mut backoff = Backoff::new(Duration::from_millis(300), 7);
    for full in [100, 200, 300, 300] {
        let pause = backoff.next_pause(SHORT);
        assert!(
            is_jittered(pause, Duration::from_millis(full)),
            "{pause:?} of {full} ms"
        );
    }
    assert_eq!(backoff.next_pause(LONG), Duration::ZERO);
    backoff.next_pause(SHORT);
    backoff.reset();
    assert!(is_jittered(backoff.next_pause(SHORT), 2 * MIN_PAUSE));
}

#[test]
fn the_longest_pause_is_a_quarter_of_the_drain_grace_within_bounds() {
    assert_eq!(max_pause(Duration::ZERO), MIN_PAUSE);
    assert_eq!(
        max_pause(Duration::from_secs(2)),
        Duration::from_millis(500)
    );
    assert_eq!(max_pause(Duration::from_secs(60)), MAX_PAUSE);
}
