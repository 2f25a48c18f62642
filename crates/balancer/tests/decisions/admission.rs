//! Admission control: which requests are shed in an overload.
//!
//! A load level is the load of an endpoint in whole requests; here it is estimated from this node's
//! attempts in flight there. A level is open while most attempts that started at it are in time. An
//! endpoint at a closed level admits almost no requests. Levels 0 and 1 are open at the start and
//! allow two attempts in flight at an endpoint.

use crate::support::serve_one;
use ottertiller_balancer::{Outcome, Tenant};
use ottertiller_balancer_simulation::actions::{count_attempts, endpoints_attempted, is_shed};
use ottertiller_balancer_simulation::fixtures::classes::{IDEMPOTENT, NOT_IDEMPOTENT};
use ottertiller_balancer_simulation::fixtures::{ms, response_report_settings};
use ottertiller_balancer_simulation::node::{AttemptId, NodeSimulation, RequestOptions};
use std::time::Duration;

/// The number of endpoints in most of these tests.
const ENDPOINTS: usize = 4;
/// The most attempts in flight at an endpoint while only load levels 0 and 1 are open.
const INITIAL_MAX_IN_FLIGHT: usize = 2;
/// The attempts in flight at an endpoint, on average, that show that higher load levels are open.
const IN_FLIGHT_AT_HIGHER_LEVELS: usize = 4;
/// A response time just within the latency objective of 400 ms. Responses after three quarters of
/// the objective count as late.
const JUST_WITHIN_OBJECTIVE: Duration = Duration::from_millis(390);
/// The number of requests in flight that a busy endpoint reports.
const BUSY: f32 = 3.0;

#[test]
fn tenant_over_quota_is_shed_first() {
    let mut settings = response_report_settings();
    settings.tenants = vec![
        Tenant {
            quota_per_s: 30.0,
            quota_share: 0.5
        };
        2
    ];
    settings.over_quota_weight = 0.1;
    let mut node = NodeSimulation::with_endpoints(settings, 2);
    // Tenant 0 exceeds its quota, tenant 1 does not. The endpoints serve a tenth of the requests.
    let (mut sent, mut shed) = ([0, 0], [0, 0]);
    for step in 0..2000 {
        let tenant = usize::from(step % 23 == 0);
        sent[tenant] += 1;
        let (_, actions) = node.request_with(RequestOptions {
            class: NOT_IDEMPOTENT,
            tenant,
            ..RequestOptions::default()
        });
        shed[tenant] += usize::from(is_shed(&actions));
        node.advance(ms(5));
        let oldest = node.attempts_in_flight().first().copied();
        if let Some(attempt) = oldest.filter(|_| step % 10 == 0) {
            node.end_attempt(attempt, Outcome::Served, None);
        }
    }
    assert_eq!(sent, [1913, 87]);
    let [over_quota, within_quota] = [0, 1].map(|tenant| shed[tenant] as f64 / sent[tenant] as f64);
    assert!(
        over_quota > 0.3 && within_quota < over_quota,
        "shed: {over_quota} of the tenant over quota, {within_quota} of the one within"
    );
}

/// A node that has just started must not send dozens of requests to an endpoint before its first
/// attempt there times out.
#[test]
fn fresh_node_limits_requests_in_flight_during_overload() {
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), ENDPOINTS as u64);
    for _ in 0..300 {
        node.request(NOT_IDEMPOTENT);
        node.advance(ms(1));
    }
    assert!(
        node.attempts_in_flight().len() <= ENDPOINTS * INITIAL_MAX_IN_FLIGHT,
        "{} in flight at {ENDPOINTS} unresponsive endpoints",
        node.attempts_in_flight().len()
    );
}

/// If nearly all responses arrive just within the latency objective, the endpoints are already
/// overloaded. Such responses must not open load levels; quick responses must.
#[test]
fn responses_near_objective_open_no_load_levels() {
    let most_in_flight = |response_time: Duration| {
        let mut node = NodeSimulation::with_endpoints(response_report_settings(), ENDPOINTS as u64);
        let mut most = 0;
        for _ in 0..2000 {
            node.request(NOT_IDEMPOTENT);
            node.advance(ms(2));
            most = most.max(node.attempts_in_flight().len());
            for attempt in node.attempts_in_flight() {
                if node.since_first_attempt(attempt.request) >= response_time {
                    node.end_attempt(attempt, Outcome::Served, Some(BUSY));
                }
            }
        }
        most
    };
    let (quick, late) = (
        most_in_flight(ms(100)),
        most_in_flight(JUST_WITHIN_OBJECTIVE),
    );
    assert!(
        quick >= ENDPOINTS * IN_FLIGHT_AT_HIGHER_LEVELS,
        "{quick} in flight at {ENDPOINTS} endpoints: quick responses should open load levels"
    );
    assert!(
        late <= ENDPOINTS * INITIAL_MAX_IN_FLIGHT,
        "{late} in flight at {ENDPOINTS} endpoints: responses near the objective should open no \
         load levels"
    );
}

/// In an overload, a smaller share of the requests with a higher priority is shed.
#[test]
fn higher_priority_is_admitted_first_in_overload() {
    let mut settings = response_report_settings();
    settings.classes[NOT_IDEMPOTENT].priority_weight = 10.0;
    let mut node = NodeSimulation::with_endpoints(settings, ENDPOINTS as u64);
    let mut sent = [0, 0];
    for step in 0..600 {
        let class = [IDEMPOTENT, NOT_IDEMPOTENT][step % 2];
        let (id, actions) = node.request(class);
        if !endpoints_attempted(&actions).is_empty() {
            sent[class] += 1;
            node.advance(JUST_WITHIN_OBJECTIVE);
            node.end_attempt(AttemptId::first(id), Outcome::Served, Some(BUSY));
        }
    }
    let [low, high] = [sent[IDEMPOTENT], sent[NOT_IDEMPOTENT]];
    assert!(high > 2 * low && low > 0, "{sent:?}");
}

/// Hundreds of nodes may overload the endpoints with one request each, so that no node has several
/// attempts in flight at an endpoint. A node must shed then, and admit all requests again after the
/// overload. Here the node has one attempt in flight at a time, so it never has one already at the
/// endpoint that it chooses. The responses report busy endpoints.
#[test]
fn late_responses_without_own_load_cause_shedding_and_recovery() {
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), ENDPOINTS as u64);
    let sent = |node: &mut NodeSimulation, response_time: Duration| {
        let mut sent = 0;
        for _ in 0..200 {
            let (id, actions) = node.request(NOT_IDEMPOTENT);
            if !endpoints_attempted(&actions).is_empty() {
                sent += 1;
                node.advance(response_time);
                node.end_attempt(AttemptId::first(id), Outcome::Served, Some(BUSY));
            }
        }
        sent
    };
    assert_eq!(sent(&mut node, ms(50)), 200);
    let slow = sent(&mut node, JUST_WITHIN_OBJECTIVE);
    assert!((15..100).contains(&slow), "{slow}");
    sent(&mut node, ms(50));
    assert_eq!(sent(&mut node, ms(50)), 200);
}

/// If endpoints are busy, a heavy request that cannot finish in time would displace many light
/// ones, and is shed at once. If most endpoints are idle, it is sent.
#[test]
fn request_with_cost_beyond_objective_is_shed_at_once() {
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), ENDPOINTS as u64);
    for _ in 0..60 {
        serve_one(&mut node, BUSY); // no endpoint is idle
    }
    let with_cost = |work| RequestOptions {
        class: NOT_IDEMPOTENT,
        cost_hint: Some(ms(work)),
        ..RequestOptions::default()
    };
    let (light, heavy) = (with_cost(200), with_cost(420));
    assert!(
        is_shed(&node.request_with(heavy).1),
        "420 ms of work do not fit in the 400 ms of the objective"
    );
    assert_eq!(count_attempts(&node.request_with(light).1), 1);
    for _ in 0..200 {
        serve_one(&mut node, 0.0);
    }
    assert_eq!(
        count_attempts(&node.request_with(heavy).1),
        1,
        "most endpoints are idle, so it may be sent"
    );
}
