//! Outlier ejection: failing endpoints are ejected and later probed, but failures of all endpoints
//! do not eject them all.

use crate::support::{AttemptCounts, outcome_at, play_requests, send_request};
use ottertiller_balancer::{EndpointId, Outcome};
use ottertiller_balancer_simulation::actions::count_attempts_at;
use ottertiller_balancer_simulation::fixtures::classes::NOT_IDEMPOTENT;
use ottertiller_balancer_simulation::fixtures::{ms, response_report_settings};
use ottertiller_balancer_simulation::node::NodeSimulation;
use std::collections::BTreeSet;

#[test]
fn endpoint_that_fails_fast_is_ejected() {
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), 4);
    let used = play_requests(&mut node, 400, outcome_at(0..1, Outcome::Error));
    assert!((1..20).contains(&used.at(0)), "{used:?}");
}

#[test]
fn ejected_endpoint_returns_after_probe_request() {
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), 4);
    play_requests(&mut node, 100, outcome_at(0..1, Outcome::ConnectFailed));
    node.advance(ms(20_000));
    let used = play_requests(&mut node, 100, |_| Outcome::Served);
    assert!(used.at(0) > 10, "{used:?}");
}

#[test]
fn failures_of_all_endpoints_do_not_eject_them_all() {
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), 6);
    play_requests(&mut node, 200, |_| Outcome::Error);
    // Errors lower no send count, so the first endpoint that serves has the lowest one. Only
    // requests sent at the same time reach more endpoints.
    for _ in 0..10 {
        for _ in 0..6 {
            node.request(NOT_IDEMPOTENT);
        }
        node.advance(ms(30));
        node.end_all_attempts(Outcome::Served, Some(0.0));
    }
    for _ in 0..6 {
        node.request(NOT_IDEMPOTENT);
    }
    let used: BTreeSet<_> = node
        .attempts_in_flight()
        .iter()
        .map(|attempt| node.endpoint_of(*attempt).0)
        .collect();
    assert!(used.len() >= 3, "{used:?}");
}

#[test]
fn endpoint_that_never_responds_is_ejected() {
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), 4);
    let mut used = AttemptCounts::default();
    for _ in 0..200 {
        node.request(NOT_IDEMPOTENT);
        node.advance(ms(30));
        for attempt in node.attempts_in_flight() {
            let endpoint = node.endpoint_of(attempt).0;
            if endpoint != 0 {
                used.add(endpoint);
                node.end_attempt(attempt, Outcome::Served, Some(0.0));
            }
        }
    }
    let unresponsive = count_attempts_at(&node.actions, EndpointId(0));
    assert!(
        unresponsive < 20,
        "{unresponsive} of 200 attempts at the unresponsive endpoint, {used:?}"
    );
}

#[test]
fn long_pause_of_node_ejects_no_endpoint() {
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), 6);
    play_requests(&mut node, 100, |_| Outcome::Served);
    let ids: Vec<_> = (0..30).map(|_| node.request(NOT_IDEMPOTENT).0).collect();
    // The node pauses for longer than every latency objective, and then all its attempts time out
    // at once.
    node.now += ms(900);
    node.end_all_attempts(Outcome::TimedOut, None);
    assert!(ids.iter().all(|id| node.is_finished(*id)));
    let mut used: Vec<u64> = (0..6)
        .flat_map(|_| send_request(&mut node, NOT_IDEMPOTENT))
        .collect();
    used.sort();
    used.dedup();
    assert_eq!(used.len(), 6, "{used:?}");
}

/// If several endpoints are unreachable, a quiet node must not use most of its requests as probes.
#[test]
fn probes_of_ejected_endpoints_take_few_requests() {
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), 8);
    let unreachable = outcome_at(0..3, Outcome::ConnectFailed);
    play_requests(&mut node, 100, unreachable.clone());
    let used = play_requests(&mut node, 400, unreachable);
    let probes = used.at_any(0..3);
    assert!((1..60).contains(&probes), "{used:?}");
}

/// Unreachable endpoints are ejected however many they are: the rule that half of the endpoints
/// stay in use applies to outliers only.
#[test]
fn unreachable_majority_of_endpoints_is_ejected() {
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), 10);
    let unreachable = outcome_at(2..10, Outcome::ConnectFailed);
    play_requests(&mut node, 200, unreachable.clone());
    let used = play_requests(&mut node, 200, unreachable);
    assert!(used.at_any(0..2) > 150, "{used:?}");
}
