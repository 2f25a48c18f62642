//! Retries: the choice of another endpoint, and the retry budget.

use ottertiller_balancer::Outcome;
use ottertiller_balancer_simulation::actions::{count_attempts, endpoints_attempted};
use ottertiller_balancer_simulation::fixtures::classes::IDEMPOTENT;
use ottertiller_balancer_simulation::fixtures::{ms, response_report_settings};
use ottertiller_balancer_simulation::node::{AttemptId, NodeSimulation};

#[test]
fn idempotent_request_is_retried_at_another_endpoint() {
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), 3);
    let (id, actions) = node.request(IDEMPOTENT);
    let again = node.end_attempt(AttemptId::first(id), Outcome::Error, None);
    assert_eq!(endpoints_attempted(&again).len(), 1);
    assert_ne!(endpoints_attempted(&again), endpoints_attempted(&actions));
}

/// The retry budget allows retries for two fifths of the requests plus a burst of at most 5, the
/// capacity of the token bucket. This test allows twice that burst.
#[test]
fn retries_stay_within_their_budget() {
    const REQUESTS: usize = 500;
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), 9);
    for _ in 0..REQUESTS {
        node.request(IDEMPOTENT);
        node.advance(ms(5));
        node.end_all_attempts(Outcome::Error, None);
    }
    let attempts = count_attempts(&node.actions);
    assert!(
        attempts <= REQUESTS + REQUESTS * 2 / 5 + 10,
        "{attempts} attempts for {REQUESTS} requests"
    );
}
