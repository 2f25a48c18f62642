//! What the tests of decisions share: what is in a list of actions, and requests played one after
//! another.

use ottertiller_balancer::{Action, Outcome};
use ottertiller_balancer_simulation::fixtures::ms;
use ottertiller_balancer_simulation::node::NodeSimulation;
use std::collections::BTreeMap;

pub fn endpoints_attempted(actions: &[Action]) -> Vec<u64> {
    let attempt = |action: &Action| match action {
        Action::StartAttempt { endpoint, .. } => Some(endpoint.0),
        _ => None,
    };
    actions.iter().filter_map(attempt).collect()
}

pub fn health_checks(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|action| matches!(action, Action::HealthCheck { .. }))
        .count()
}

pub fn is_shed(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Shed { .. }))
}

pub fn is_failed(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Fail { .. }))
}

/// Sends a request and has it served at once, with a report of that many requests in flight.
pub fn serve_one(node: &mut NodeSimulation, in_flight: f32) -> u64 {
    let (id, actions) = node.request(0);
    let attempted = endpoints_attempted(&actions);
    assert_eq!(
        attempted.len(),
        1,
        "free endpoints are sent a request at once: {actions:?}"
    );
    node.advance(ms(20));
    node.end_attempt(id, 0, Outcome::Served, Some(in_flight));
    attempted[0]
}

/// Plays requests of 30 ms for a while; `outcome` says how an attempt at an endpoint ends.
pub fn play_requests(
    node: &mut NodeSimulation,
    count: usize,
    outcome: impl Fn(u64) -> Outcome,
) -> BTreeMap<u64, usize> {
    let mut attempts = BTreeMap::new();
    for _ in 0..count {
        node.request(1);
        node.advance(ms(30));
        for (id, attempt) in node.in_flight() {
            let endpoint = node.endpoint_of(id, attempt).0;
            *attempts.entry(endpoint).or_insert(0) += 1;
            node.end_attempt(id, attempt, outcome(endpoint), Some(0.0));
        }
    }
    attempts
}
