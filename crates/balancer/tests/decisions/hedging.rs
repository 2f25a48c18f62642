//! Hedged requests, and the cancellation of an attempt without a response.

use crate::support::play_requests;
use ottertiller_balancer::Outcome;
use ottertiller_balancer_simulation::actions::count_attempts_of;
use ottertiller_balancer_simulation::fixtures::classes::{
    IDEMPOTENT, KEYED_EVERYWHERE, NOT_IDEMPOTENT,
};
use ottertiller_balancer_simulation::fixtures::{ms, response_report_settings};
use ottertiller_balancer_simulation::node::{AttemptId, NodeSimulation};

/// An attempt without a response must not use up the whole time of its request. Whether a second
/// attempt follows depends on the idempotency of the class.
#[test]
fn unanswered_attempt_is_followed_by_another_if_class_allows() {
    for (class, may_follow) in [
        (IDEMPOTENT, true),
        (NOT_IDEMPOTENT, false),
        (KEYED_EVERYWHERE, true),
    ] {
        for parallel in [false, true] {
            let mut settings = response_report_settings();
            settings.limits.allow_parallel_attempts = parallel;
            let mut node = NodeSimulation::with_endpoints(settings, 6);
            play_requests(&mut node, 100, |_| Outcome::Served); // responses take 30 ms
            let (id, _) = node.request(class);
            node.advance(ms(if parallel { 200 } else { 390 }));
            let attempts = count_attempts_of(&node.actions, id);
            assert_eq!(
                attempts > 1,
                may_follow,
                "class {class}, parallel {parallel}: {attempts} attempts"
            );
        }
    }
}

/// An endpoint continues to work on a cancelled attempt. If only one attempt may be in flight, it
/// is therefore cancelled only when the next one would otherwise start too late.
#[test]
fn single_attempt_is_cancelled_only_when_retry_must_start() {
    for class in [IDEMPOTENT, KEYED_EVERYWHERE] {
        let mut settings = response_report_settings();
        settings.limits.allow_parallel_attempts = false;
        let mut node = NodeSimulation::with_endpoints(settings, 6);
        // Responses take 30 ms, so an attempt is unusually slow after 120 ms, four times that.
        play_requests(&mut node, 300, |_| Outcome::Served);
        let (id, _) = node.request(class);
        // The first attempt is still in flight; keyed requests are deduplicated for 300 ms.
        node.advance(ms(250));
        assert_eq!(
            node.attempts_in_flight(),
            [AttemptId::first(id)],
            "class {class}"
        );
        node.advance(ms(50));
        assert_eq!(
            node.attempts_in_flight(),
            [AttemptId::new(id, 1)],
            "class {class}"
        );
    }
}
