//! Retries: where they go, and their budget.

use crate::support::endpoints_attempted;
use ottertiller_balancer::Outcome;
use ottertiller_balancer_simulation::fixtures::{ms, response_report_settings};
use ottertiller_balancer_simulation::node::NodeSimulation;

#[test]
fn idempotent_request_is_retried_at_another_endpoint() {
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), 3);
    let (id, actions) = node.request(0);
    let again = node.end_attempt(id, 0, Outcome::Error, None);
    assert_eq!(endpoints_attempted(&again).len(), 1);
    assert_ne!(endpoints_attempted(&again), endpoints_attempted(&actions));
}

#[test]
fn retries_stay_within_their_budget() {
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), 9);
    for _ in 0..500 {
        node.request(0);
        node.advance(ms(5));
        for (id, attempt) in node.in_flight() {
            node.end_attempt(id, attempt, Outcome::Error, None);
        }
    }
    let sends = endpoints_attempted(&node.actions).len();
    assert!(
        sends <= 500 + 500 * 2 / 5 + 10,
        "{sends} sends for 500 requests"
    );
}
