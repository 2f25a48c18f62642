use super::TrackedAttempt;
use crate::message::StopReason;
use ottertiller_balancer::EndpointId;
use std::time::Duration;

const ENDPOINT: EndpointId = EndpointId(7);
const STARTED_AT: Duration = Duration::from_secs(1);

#[test]
fn a_stopped_attempt_keeps_the_first_reason_until_it_ends() {
    let (mut attempt, mut stop_signal) = TrackedAttempt::running(ENDPOINT, STARTED_AT);
    attempt.stop(StopReason::TimedOut);
    attempt.stop(StopReason::Cancelled);
    assert!(matches!(stop_signal.try_recv(), Ok(StopReason::TimedOut)));
    assert!(!attempt.has_ended());
    let ended = attempt.end(false).expect("its first end");
    assert_eq!((ended.endpoint, ended.started_at), (ENDPOINT, STARTED_AT));
    assert!(!ended.awaited_response);
}

#[test]
fn an_attempt_ends_once() {
    let (mut attempt, mut stop_signal) = TrackedAttempt::running(ENDPOINT, STARTED_AT);
    assert!(attempt.end(true).is_some());
    assert!(attempt.end(true).is_none());
    attempt.stop(StopReason::Cancelled);
    assert!(attempt.has_ended());
    assert!(stop_signal.try_recv().is_err(), "it is not told to stop");
}

#[test]
fn an_attempt_that_is_not_started_has_ended() {
    let mut attempt = TrackedAttempt::not_started(ENDPOINT, STARTED_AT);
    assert!(attempt.has_ended());
    assert!(attempt.end(false).is_none());
}
