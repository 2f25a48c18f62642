//! What may be retried or shed once it may have run.

use crate::support::{endpoints_attempted, is_failed, is_shed};
use ottertiller_balancer::Outcome;
use ottertiller_balancer_simulation::fixtures::{ms, response_report_settings};
use ottertiller_balancer_simulation::node::NodeSimulation;

#[test]
fn non_idempotent_request_is_retried_only_if_it_never_ran() {
    for (outcome, again) in [
        (Outcome::Rejected, true),
        (Outcome::ConnectFailed, true),
        (Outcome::NotSent, true),
        (Outcome::Error, false),
        (Outcome::Reset, false),
        (Outcome::TimedOut, false),
    ] {
        let mut node = NodeSimulation::with_endpoints(response_report_settings(), 3);
        let (id, _) = node.request(1);
        let actions = node.end_attempt(id, 0, outcome, None);
        assert_eq!(
            endpoints_attempted(&actions).len(),
            usize::from(again),
            "{outcome:?}"
        );
        assert_eq!(is_failed(&actions), !again, "{outcome:?}");
        assert!(!is_shed(&actions), "{outcome:?}");
    }
}

#[test]
fn keyed_request_is_retried_only_in_its_scope_and_window() {
    for class in [2, 3] {
        let mut node = NodeSimulation::with_endpoints(response_report_settings(), 9);
        let (id, actions) = node.request(class);
        let first = endpoints_attempted(&actions)[0];
        let again = endpoints_attempted(&node.end_attempt(id, 0, Outcome::Reset, None));
        assert_eq!(again.iter().map(|s| s % 3).collect::<Vec<_>>(), [first % 3]);

        let (id, _) = node.request(class);
        node.advance(ms(300));
        let actions = node.end_attempt(id, 0, Outcome::Reset, None);
        assert!(
            is_failed(&actions) && endpoints_attempted(&actions).is_empty(),
            "the window is over: {actions:?}"
        );
    }
}

#[test]
fn request_keyed_at_all_endpoints_may_be_shed_after_it_ran() {
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), 1);
    let (id, _) = node.request(4);
    assert!(is_shed(&node.end_attempt(id, 0, Outcome::Error, None)));
}
