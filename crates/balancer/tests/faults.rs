//! Faults, alone and in combination. The simulation checks the rules that a node must keep; the
//! tests check that service goes on, that retries stay within their budget, and that no overload
//! lasts.

use ottertiller_balancer::{EndpointId, ListKind, Outcome, Settings};
use ottertiller_balancer_simulation::actions::{count_attempts, count_polls};
use ottertiller_balancer_simulation::fixtures::classes::NOT_IDEMPOTENT;
use ottertiller_balancer_simulation::fixtures::{
    classes, entry, health_check_settings, ms, response_report_settings, started_entry,
};
use ottertiller_balancer_simulation::node::{NodeSimulation, RequestOptions};
use std::time::Duration;

/// Counts over a series of requests.
#[derive(Debug, Default)]
struct Summary {
    attempts: usize,
    served: usize,
    polls: usize,
}

/// Plays requests of all classes, one every 30 ms, and checks that retries stay within their
/// budget. `outcome` says how an attempt at an endpoint ends within that time; `None` means that it
/// stays in flight.
fn play(
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
                node.end_attempt(attempt, outcome, Some(1.0));
            }
        }
    }
    let actions = &node.actions[before..];
    summary.attempts = count_attempts(actions);
    summary.polls = count_polls(actions);
    // Two fifths of the requests, and twice the burst of a fresh node.
    assert!(
        summary.attempts <= requests + requests * 2 / 5 + 10,
        "retries beyond their budget: {summary:?}"
    );
    summary
}

/// Returns a function for [`play`] by which some endpoints have an outcome of their own, and the
/// others serve.
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

/// Returns a node for each way of reporting loads that has learned that all endpoints serve.
fn nodes_with_endpoints(endpoints: u64) -> [NodeSimulation; 2] {
    [response_report_settings(), health_check_settings()].map(|settings| {
        let mut node = NodeSimulation::with_endpoints(settings, endpoints);
        assert_recovers(&mut node);
        node
    })
}

/// Checks that nearly all requests are served once all faults are over, after some requests that
/// the node needs to learn that.
fn assert_recovers(node: &mut NodeSimulation) {
    play(node, 300, |_| Some(Outcome::Served));
    let summary = play(node, 200, |_| Some(Outcome::Served));
    assert!(summary.served >= 196, "an overload that lasts: {summary:?}");
}

#[test]
fn unreachable_endpoint_is_ejected() {
    for mut node in nodes_with_endpoints(4) {
        let summary = play(
            &mut node,
            400,
            outcome_where(|endpoint| endpoint == 0, Outcome::ConnectFailed),
        );
        assert!(summary.served >= 390, "{summary:?}");
    }
}

#[test]
fn unreachable_zone_does_not_stop_other_zones() {
    for mut node in nodes_with_endpoints(6) {
        let is_unreachable = |endpoint| entry(endpoint).zone == 0;
        let summary = play(
            &mut node,
            400,
            outcome_where(is_unreachable, Outcome::ConnectFailed),
        );
        assert!(summary.served >= 380, "{summary:?}");
        assert_recovers(&mut node);
    }
}

#[test]
fn empty_list_stops_attempts_until_endpoint_is_listed() {
    for mut node in nodes_with_endpoints(4) {
        node.update_endpoints(ListKind::Snapshot, vec![]);
        let summary = play(&mut node, 50, |_| Some(Outcome::Served));
        assert_eq!(summary.attempts, 0);
        node.update_endpoints(ListKind::Snapshot, (0..4).map(entry).collect());
        assert_recovers(&mut node);
    }
}

/// The number of polls does not depend on the number of requests that arrive.
#[test]
fn missing_list_is_polled_with_backoff_under_load() {
    let mut node = NodeSimulation::new(Settings {
        poll_endpoints: true,
        ..health_check_settings()
    });
    let mut polls = 0;
    for _ in 0..40 {
        let summary = play(&mut node, 20, |_| Some(Outcome::Served));
        assert_eq!(summary.attempts, 0);
        polls += summary.polls;
        if summary.polls > 0 {
            node.fail_endpoint_list();
        }
    }
    // 24 s with at most 10 s between two polls, and far fewer polls than requests.
    assert!((3..=20).contains(&polls), "{polls}");
    node.update_endpoints(ListKind::Snapshot, (0..4).map(entry).collect());
    assert_recovers(&mut node);
}

/// Endpoints first leave all attempts to time out, and then end them with errors.
#[test]
fn overload_after_timeouts_and_errors_does_not_last() {
    for mut node in nodes_with_endpoints(4) {
        play(&mut node, 400, |_| None);
        // Errors close no crowding level; only the budget limits retries.
        play(&mut node, 400, |_| Some(Outcome::Error));
        assert_recovers(&mut node);
    }
}

#[test]
fn crash_among_stalled_endpoints_causes_no_lasting_overload() {
    for mut node in nodes_with_endpoints(6) {
        let summary = play(&mut node, 300, |endpoint| match endpoint {
            0 => Some(Outcome::ConnectFailed),
            1 | 2 => None,
            _ => Some(Outcome::Served),
        });
        assert!(summary.served >= 200, "{summary:?}");
        assert_recovers(&mut node);
    }
}

#[test]
fn deployment_with_stale_list_causes_no_lasting_overload() {
    for mut node in nodes_with_endpoints(6) {
        // Three were removed, and the list does not show it yet.
        let summary = play(
            &mut node,
            200,
            outcome_where(|endpoint| endpoint < 3, Outcome::Reset),
        );
        assert!(summary.served >= 170, "{summary:?}");
        let starting = (6..9).map(|number| started_entry(number, node.now));
        let successors = starting.chain((3..6).map(entry)).collect();
        node.update_endpoints(ListKind::Snapshot, successors);
        assert_recovers(&mut node);
    }
}

/// One endpoint responds to nothing. Every tenth request is heavy, and light ones in between are
/// still served by the other endpoints.
#[test]
fn heavy_requests_at_stalled_endpoint_do_not_stop_light_ones() {
    const STALLED: EndpointId = EndpointId(0);
    const LIGHT: Duration = Duration::from_millis(40);
    const HEAVY: Duration = Duration::from_millis(390);
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
                let response_time = if is_own { LIGHT } else { ms(320) };
                if node.endpoint_of(attempt) != STALLED
                    && node.since_first_attempt(attempt.request) >= response_time
                {
                    served += usize::from(is_own && !is_heavy);
                    node.end_attempt(attempt, Outcome::Served, Some(1.0));
                }
            }
        }
        assert!(served >= 250, "{served}");
    }
}

/// Crowding levels start closed. A node that has never seen an endpoint below a closed level must
/// open one, or it would shed all requests indefinitely.
#[test]
fn node_that_sees_only_busy_endpoints_still_serves() {
    let mut node = NodeSimulation::with_endpoints(health_check_settings(), 4);
    assert_recovers(&mut node);
}
