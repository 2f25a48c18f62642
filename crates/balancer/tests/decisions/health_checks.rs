//! Health checks: for which requests they are sent, and how their results are used.

use ottertiller_balancer::{EndpointId, Outcome};
use ottertiller_balancer_simulation::actions::{count_health_checks, endpoints_attempted, is_shed};
use ottertiller_balancer_simulation::fixtures::classes::{IDEMPOTENT, NOT_IDEMPOTENT};
use ottertiller_balancer_simulation::fixtures::{health_check_settings, ms};
use ottertiller_balancer_simulation::node::{AttemptId, NodeSimulation, RequestOptions};
use std::collections::BTreeMap;

/// The number of requests in flight that a full endpoint reports.
const FULL: f32 = 9.0;

#[test]
fn request_waits_for_health_checks_and_joins_idle_endpoint() {
    let mut node = NodeSimulation::with_endpoints(health_check_settings(), 4);
    let (id, actions) = node.request(IDEMPOTENT);
    assert!(
        count_health_checks(&actions) > 0 && endpoints_attempted(&actions).is_empty(),
        "{actions:?}"
    );
    node.advance(ms(1));
    node.end_health_checks(&[2]);
    assert_eq!(node.endpoint_of(AttemptId::first(id)), EndpointId(2));
}

#[test]
fn health_check_without_result_delays_request_briefly() {
    let mut node = NodeSimulation::with_endpoints(health_check_settings(), 4);
    let (id, _) = node.request(IDEMPOTENT);
    node.advance(ms(40));
    assert_eq!(node.attempts_in_flight(), [AttemptId::first(id)]);
}

#[test]
fn expensive_health_checks_are_kept_for_heavy_requests() {
    let checks_sent = |cost: f64, idle: &[u64]| {
        let mut settings = health_check_settings();
        settings.node_count = 100;
        settings.weight_by_work = true;
        settings.cost_weights.health_check = cost;
        let mut node = NodeSimulation::with_endpoints(settings, 8);
        let (mut light, mut heavy) = (0, 0);
        for number in 0..120 {
            let (work, count) = if number % 6 == 0 {
                (300, &mut heavy)
            } else {
                (24, &mut light)
            };
            let (id, actions) = node.request_with(RequestOptions {
                cost_hint: Some(ms(work)),
                ..RequestOptions::default()
            });
            *count += count_health_checks(&actions);
            // Every attempt is served in time.
            node.end_health_checks(idle);
            node.advance(ms(work / 4));
            node.end_all_attempts(Outcome::Served, None);
            node.advance(ms(200));
            assert!(node.is_finished(id));
        }
        (light, heavy)
    };
    let half = [0, 2, 4, 6];
    let (light, heavy) = checks_sent(0.08, &half);
    assert_eq!(
        light, 0,
        "a light request is almost certain to be served in time"
    );
    assert!(heavy >= 30, "{heavy} health checks for 20 heavy requests");
    for idle in [&half[..], &[]] {
        let (light, _) = checks_sent(0.002, idle);
        assert!(
            light >= 80,
            "cheap health checks are sent for all: {light} for 100 light requests"
        );
    }
}

/// If all checked endpoints are full, the request must not go to an unchecked endpoint, which is
/// likely to be as full.
#[test]
fn request_is_shed_when_all_checked_endpoints_are_full() {
    let mut node = NodeSimulation::with_endpoints(health_check_settings(), 3);
    for _ in 0..60 {
        node.request(IDEMPOTENT);
        for _ in 0..4 {
            node.advance(ms(1));
            while node.end_health_check(Some(FULL)).is_some() {}
        }
        node.end_all_attempts(Outcome::Rejected, None);
    }
    let (_, actions) = node.request(IDEMPOTENT);
    node.advance(ms(1));
    let before = node.actions.len();
    while node.end_health_check(Some(FULL)).is_some() {}
    let after = &node.actions[before..];
    assert!(is_shed(&actions) || is_shed(after), "{actions:?} {after:?}");
}

#[test]
fn endpoint_with_frozen_idle_reports_does_not_get_all_requests() {
    let mut node = NodeSimulation::with_endpoints(health_check_settings(), 4);
    let mut used = BTreeMap::new();
    for step in 0..400 {
        node.request(NOT_IDEMPOTENT);
        node.advance(ms(1));
        node.end_health_checks(&[0]);
        node.advance(ms(20));
        // The endpoint with frozen reports responds late to most requests; the others respond in
        // time.
        for attempt in node.attempts_in_flight() {
            let endpoint = node.endpoint_of(attempt).0;
            if endpoint != 0 || step % 40 == 0 {
                node.end_attempt(attempt, Outcome::Served, None);
            }
            *used.entry(endpoint).or_insert(0) +=
                usize::from(node.since_first_attempt(attempt.request) < ms(25));
        }
    }
    assert!(used[&0] < 200, "{used:?}");
}
