//! Which requests may be retried or shed after an attempt that may have run.

use ottertiller_balancer::Outcome;
use ottertiller_balancer_simulation::actions::{
    count_attempts, endpoints_attempted, is_failed, is_shed,
};
use ottertiller_balancer_simulation::fixtures::classes::{
    KEYED_EVERYWHERE, KEYED_IN_CELL, KEYED_IN_ZONE, NOT_IDEMPOTENT,
};
use ottertiller_balancer_simulation::fixtures::{DEDUPLICATION_WINDOW, response_report_settings};
use ottertiller_balancer_simulation::node::{AttemptId, NodeSimulation};

#[test]
fn non_idempotent_request_is_retried_only_if_it_never_ran() {
    for (outcome, is_retried) in [
        (Outcome::Rejected, true),
        (Outcome::ConnectFailed, true),
        (Outcome::NotSent, true),
        (Outcome::Error, false),
        (Outcome::Reset, false),
        (Outcome::TimedOut, false),
    ] {
        let mut node = NodeSimulation::with_endpoints(response_report_settings(), 3);
        let (id, _) = node.request(NOT_IDEMPOTENT);
        let actions = node.end_attempt(AttemptId::first(id), outcome, None);
        assert_eq!(
            count_attempts(&actions),
            usize::from(is_retried),
            "{outcome:?}"
        );
        assert_eq!(is_failed(&actions), !is_retried, "{outcome:?}");
        assert!(!is_shed(&actions), "{outcome:?}");
    }
}

#[test]
fn keyed_request_is_retried_only_in_its_scope_and_window() {
    for class in [KEYED_IN_ZONE, KEYED_IN_CELL] {
        let mut node = NodeSimulation::with_endpoints(response_report_settings(), 9);
        let (id, actions) = node.request(class);
        let first = endpoints_attempted(&actions)[0];
        let again =
            endpoints_attempted(&node.end_attempt(AttemptId::first(id), Outcome::Reset, None));
        assert_eq!(
            again
                .iter()
                .map(|endpoint| endpoint % 3)
                .collect::<Vec<_>>(),
            [first % 3]
        );

        let (id, _) = node.request(class);
        node.advance(DEDUPLICATION_WINDOW);
        let actions = node.end_attempt(AttemptId::first(id), Outcome::Reset, None);
        assert!(
            is_failed(&actions) && endpoints_attempted(&actions).is_empty(),
            "the deduplication window is over: {actions:?}"
        );
    }
}

#[test]
fn request_keyed_at_all_endpoints_may_be_shed_after_it_ran() {
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), 1);
    let (id, _) = node.request(KEYED_EVERYWHERE);
    assert!(is_shed(&node.end_attempt(
        AttemptId::first(id),
        Outcome::Error,
        None
    )));
}
