use super::*;

const SHORTEST: Duration = Duration::from_millis(100);
const LONGEST: Duration = Duration::from_millis(300);

#[test]
fn waits_double_up_to_the_longest_with_jitter() {
    for seed in 0..100 {
        let mut random = Random::new(seed);
        let mut backoff = Backoff::new(SHORTEST, LONGEST);
        for full_ms in [100, 200, 300, 300] {
            let full = Duration::from_millis(full_ms);
            let wait = backoff.next_wait(&mut random);
            assert!(wait >= full / 2 && wait <= full, "{wait:?} of {full:?}");
        }
    }
}

#[test]
fn a_reset_begins_with_the_shortest_wait() {
    let mut random = Random::new(7);
    let mut backoff = Backoff::new(SHORTEST, LONGEST);
    backoff.next_wait(&mut random);
    backoff.next_wait(&mut random);
    backoff.reset();
    assert!(backoff.next_wait(&mut random) <= SHORTEST);
}
