//! Faults of endpoints and of the endpoint list, alone and in combination. The simulation checks
//! the invariants of a node. The tests check that requests are still served, that retries stay
//! within their budget, and that every overload ends.

use ottertiller_balancer::{EndpointId, ListKind, Outcome, Settings};
use ottertiller_balancer_simulation::actions::{count_attempts, count_polls};
use ottertiller_balancer_simulation::fixtures::classes::NOT_IDEMPOTENT;
use ottertiller_balancer_simulation::fixtures::{
    classes, entry, health_check_settings, ms, response_report_settings, started_entry,
};
use ottertiller_balancer_simulation::node::{NodeSimulation, RequestOptions};
use std::time::Duration;

/// The number of requests in flight that endpoints report with each response. An endpoint is idle
/// below 0.5, so no response reports an idle endpoint.
const REPORTED_IN_FLIGHT: f32 = 1.0;

/// Totals over a series of requests.
#[derive(Debug, Default)]
struct Summary {
    attempts: usize,
    served: usize,
    polls: usize,
}

/// Sends requests of all classes, one every 30 ms, and checks that retries stay within their
/// budget. `outcome` returns the outcome of an attempt at an endpoint within that time; `None`
/// means that the attempt stays in flight. All health checks and responses report busy endpoints.
fn simulate(
    node: &mut NodeSimulation,
    requests: usize,
    outcome: impl Fn(u64) -> Option<Outcome>,
) -> Summary {
    let mut summary = Summary::default();
    let before = node.actions.len();
    for number in 0..requests {
        node.request(number % classes::COUNT);
        node.end_health_checks(&[]);
        node.advance(ms(30));
        for attempt in node.attempts_in_flight() {
            if let Some(outcome) = outcome(node.endpoint_of(attempt).0) {
                summary.served +=
                    usize::from(outcome == Outcome::Served && !node.is_finished(attempt.request));
                node.end_attempt(attempt, outcome, Some(REPORTED_IN_FLIGHT));
            }
        }
    }
    let actions = &node.actions[before..];
    summary.attempts = count_attempts(actions);
    summary.polls = count_polls(actions);
    // Each request adds 0.4 retries to the budget, in which at most 5 retries can be saved up. The
    // check allows 10 retries above 0.4 per request, twice that maximum.
    assert!(
        summary.attempts <= requests + requests * 2 / 5 + 10,
        "retries exceed their budget: {summary:?}"
    );
    summary
}

/// Returns an outcome function for [`simulate`]. Endpoints for which `has_fault` holds end attempts
/// with the outcome `fault`; the others serve.
fn outcome_where(
    has_fault: impl Fn(u64) -> bool,
    fault: Outcome,
) -> impl Fn(u64) -> Option<Outcome> {
    move |endpoint| {
        Some(if has_fault(endpoint) {
            fault
        } else {
            Outcome::Served
        })
    }
}

/// Returns one node for each source of load reports. Each has learned that all endpoints serve.
fn nodes_with_endpoints(endpoints: u64) -> [NodeSimulation; 2] {
    [response_report_settings(), health_check_settings()].map(|settings| {
        let mut node = NodeSimulation::with_endpoints(settings, endpoints);
        assert_recovers(&mut node);
        node
    })
}

/// Checks that nearly all requests are served after all faults have ended. Before that, 300
/// requests let the node learn that the faults have ended.
fn assert_recovers(node: &mut NodeSimulation) {
    simulate(node, 300, |_| Some(Outcome::Served));
    let summary = simulate(node, 200, |_| Some(Outcome::Served));
    assert!(
        summary.served >= 196,
        "the overload does not end: {summary:?}"
    );
}

#[test]
fn unreachable_endpoint_is_ejected() {
    for mut node in nodes_with_endpoints(4) {
        let summary = simulate(
            &mut node,
            400,
            outcome_where(|endpoint| endpoint == 0, Outcome::ConnectFailed),
        );
        assert!(
            summary.served >= 390,
            "fewer than 390 of 400 served: {summary:?}"
        );
    }
}

#[test]
fn unreachable_zone_does_not_stop_other_zones() {
    for mut node in nodes_with_endpoints(6) {
        let is_unreachable = |endpoint| entry(endpoint).zone == 0;
        let summary = simulate(
            &mut node,
            400,
            outcome_where(is_unreachable, Outcome::ConnectFailed),
        );
        assert!(
            summary.served >= 380,
            "fewer than 380 of 400 served: {summary:?}"
        );
        assert_recovers(&mut node);
    }
}

#[test]
fn empty_list_stops_attempts_until_endpoint_is_listed() {
    for mut node in nodes_with_endpoints(4) {
        node.update_endpoints(ListKind::Snapshot, vec![]);
        let summary = simulate(&mut node, 50, |_| Some(Outcome::Served));
        assert_eq!(summary.attempts, 0);
        node.update_endpoints(ListKind::Snapshot, (0..4).map(entry).collect());
        assert_recovers(&mut node);
    }
}

/// A node without an endpoint list polls for it. The number of polls must not depend on the number
/// of requests that arrive.
#[test]
fn missing_list_is_polled_with_backoff_under_load() {
    let mut node = NodeSimulation::new(Settings {
        poll_endpoints: true,
        ..health_check_settings()
    });
    let mut polls = 0;
    for _ in 0..40 {
        let summary = simulate(&mut node, 20, |_| Some(Outcome::Served));
        assert_eq!(summary.attempts, 0);
        polls += summary.polls;
        if summary.polls > 0 {
            node.fail_endpoint_list();
        }
    }
    // The polls are spread over 24 s, with at most 10 s in between, and are far fewer than the 800
    // requests.
    assert!(
        (3..=20).contains(&polls),
        "expected 3 to 20 polls, got {polls}"
    );
    node.update_endpoints(ListKind::Snapshot, (0..4).map(entry).collect());
    assert_recovers(&mut node);
}

/// First all attempts time out, then all end with errors.
#[test]
fn overload_after_timeouts_and_errors_does_not_last() {
    for mut node in nodes_with_endpoints(4) {
        simulate(&mut node, 400, |_| None);
        // Errors do not close load levels of admission control; only the budget limits retries.
        simulate(&mut node, 400, |_| Some(Outcome::Error));
        assert_recovers(&mut node);
    }
}

#[test]
fn crash_among_stalled_endpoints_causes_no_lasting_overload() {
    for mut node in nodes_with_endpoints(6) {
        let summary = simulate(&mut node, 300, |endpoint| match endpoint {
            0 => Some(Outcome::ConnectFailed),
            1 | 2 => None,
            _ => Some(Outcome::Served),
        });
        assert!(
            summary.served >= 200,
            "fewer than 200 of 300 served: {summary:?}"
        );
        assert_recovers(&mut node);
    }
}

#[test]
fn deployment_with_stale_list_causes_no_lasting_overload() {
    for mut node in nodes_with_endpoints(6) {
        // Endpoints 0, 1 and 2 have been removed, but the list still contains them.
        let summary = simulate(
            &mut node,
            200,
            outcome_where(|endpoint| endpoint < 3, Outcome::Reset),
        );
        assert!(
            summary.served >= 170,
            "fewer than 170 of 200 served: {summary:?}"
        );
        let starting = (6..9).map(|number| started_entry(number, node.now));
        let current_list = starting.chain((3..6).map(entry)).collect();
        node.update_endpoints(ListKind::Snapshot, current_list);
        assert_recovers(&mut node);
    }
}

/// One endpoint never responds, and every tenth request is heavy. The other endpoints must still
/// serve the light requests.
///
/// A request is heavy by its cost hint alone. One request is sent in each step of 40 ms. It is
/// served at the end of the step, unless it is at the stalled endpoint or its first attempt started
/// during the step. An attempt left from an earlier step is served at the end of a light request's
/// step, once 320 ms have passed since the first attempt of its request.
#[test]
fn heavy_requests_at_stalled_endpoint_do_not_stop_light_ones() {
    const STALLED: EndpointId = EndpointId(0);
    /// The cost hint of a light request, and the length of a step.
    const LIGHT: Duration = Duration::from_millis(40);
    /// The cost hint of a heavy request.
    const HEAVY: Duration = Duration::from_millis(390);
    /// The response time of a request that is not served in its own step.
    const DELAYED_RESPONSE_TIME: Duration = Duration::from_millis(320);
    for mut node in nodes_with_endpoints(4) {
        let mut served = 0;
        for number in 0..400 {
            let is_heavy = number % 10 == 0;
            let (id, _) = node.request_with(RequestOptions {
                class: NOT_IDEMPOTENT,
                cost_hint: Some(if is_heavy { HEAVY } else { LIGHT }),
                ..RequestOptions::default()
            });
            node.end_health_checks(&[]);
            node.advance(LIGHT);
            for attempt in node.attempts_in_flight() {
                let is_own = attempt.request == id;
                if is_heavy && !is_own {
                    continue;
                }
                let response_time = if is_own { LIGHT } else { DELAYED_RESPONSE_TIME };
                if node.endpoint_of(attempt) != STALLED
                    && node.since_first_attempt(attempt.request) >= response_time
                {
                    served += usize::from(is_own && !is_heavy);
                    node.end_attempt(attempt, Outcome::Served, Some(REPORTED_IN_FLIGHT));
                }
            }
        }
        assert!(served >= 250, "only {served} of 360 light requests served");
    }
}

/// In admission control, the load levels from 2 on start closed. In [`simulate`], health checks
/// report 2 requests in flight and responses 1, so the node sees no idle endpoint. It must still
/// open a closed level, or it would shed all requests indefinitely.
#[test]
fn node_that_sees_only_busy_endpoints_still_serves() {
    let mut node = NodeSimulation::with_endpoints(health_check_settings(), 4);
    assert_recovers(&mut node);
}
