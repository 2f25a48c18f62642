//! Faults, alone and in combination. The simulation checks the rules that a node must keep; the
//! tests check that service goes on, that retries stay within their budget, and that no overload
//! lasts.

use ottertiller_balancer::{Action, EndpointEntry, ListKind, Outcome, Settings};
use ottertiller_balancer_simulation::fixtures::{
    entry, health_check_settings, ms, response_report_settings,
};
use ottertiller_balancer_simulation::node::NodeSimulation;

/// What came of a stretch of requests.
#[derive(Debug, Default)]
struct Summary {
    attempts: usize,
    served: usize,
    subscribed: usize,
}

/// Plays requests of all classes, one every 30 ms; `ends` says how an attempt at an endpoint ends
/// within that time, `None` that it stays in flight. Retries are counted against their budget at
/// the end.
fn play(
    node: &mut NodeSimulation,
    requests: usize,
    ends: impl Fn(u64) -> Option<Outcome>,
) -> Summary {
    let mut summary = Summary::default();
    let before = node.actions.len();
    for i in 0..requests {
        node.request(i % 5);
        node.answer_health_checks(&[]);
        node.advance(ms(30));
        for (id, attempt) in node.in_flight() {
            if let Some(outcome) = ends(node.endpoint_of(id, attempt).0) {
                summary.served += usize::from(outcome == Outcome::Served && !node.is_answered(id));
                node.end_attempt(id, attempt, outcome, Some(1.0));
            }
        }
    }
    for action in &node.actions[before..] {
        summary.attempts += usize::from(matches!(action, Action::StartAttempt { .. }));
        summary.subscribed += usize::from(matches!(action, Action::Subscribe { .. }));
    }
    // Two fifths of the requests, and what has been saved up: twice the burst of a fresh node.
    assert!(
        summary.attempts <= requests + requests * 2 / 5 + 10,
        "retries beyond their budget: {summary:?}"
    );
    summary
}

/// Both ways of reporting, and a node that has had the time to learn that all endpoints serve.
fn nodes_with_endpoints(endpoints: u64) -> [NodeSimulation; 2] {
    [response_report_settings(), health_check_settings()].map(|settings| {
        let mut node = NodeSimulation::with_endpoints(settings, endpoints);
        assert_recovers(&mut node);
        node
    })
}

/// All faults are over: after some requests to find that out, nearly all are served.
fn assert_recovers(node: &mut NodeSimulation) {
    play(node, 300, |_| Some(Outcome::Served));
    let summary = play(node, 200, |_| Some(Outcome::Served));
    assert!(summary.served >= 196, "an overload that lasts: {summary:?}");
}

#[test]
fn unreachable_endpoint_is_ejected() {
    for mut node in nodes_with_endpoints(4) {
        let summary = play(&mut node, 400, |s| {
            Some(if s == 0 {
                Outcome::ConnectFailed
            } else {
                Outcome::Served
            })
        });
        assert!(summary.served >= 390, "{summary:?}");
    }
}

#[test]
fn unreachable_zone_does_not_stop_other_zones() {
    for mut node in nodes_with_endpoints(6) {
        let ends = |s: u64| {
            Some(if s % 3 == 0 {
                Outcome::ConnectFailed
            } else {
                Outcome::Served
            })
        };
        let summary = play(&mut node, 400, ends);
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
    let mut subscribed = 0;
    for _ in 0..40 {
        let summary = play(&mut node, 20, |_| Some(Outcome::Served));
        assert_eq!(summary.attempts, 0);
        subscribed += summary.subscribed;
        if summary.subscribed > 0 {
            node.update_endpoints(ListKind::Failed, vec![]);
        }
    }
    // 24 s: within the 10 s that are allowed each time, and far fewer calls than requests.
    assert!((3..=20).contains(&subscribed), "{subscribed}");
    node.update_endpoints(ListKind::Snapshot, (0..4).map(entry).collect());
    assert_recovers(&mut node);
}

/// Endpoints first leave all attempts to time out, and then end them with errors.
#[test]
fn overload_after_timeouts_and_errors_does_not_last() {
    for mut node in nodes_with_endpoints(4) {
        play(&mut node, 400, |_| None);
        // Errors close no level: only the budget stands in the way of further attempts.
        play(&mut node, 400, |_| Some(Outcome::Error));
        assert_recovers(&mut node);
    }
}

#[test]
fn crash_among_stalled_endpoints_causes_no_lasting_overload() {
    for mut node in nodes_with_endpoints(6) {
        let summary = play(&mut node, 300, |s| match s {
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
        // Three have left, and the list does not say so yet.
        let summary = play(&mut node, 200, |s| {
            Some(if s < 3 {
                Outcome::Reset
            } else {
                Outcome::Served
            })
        });
        assert!(summary.served >= 170, "{summary:?}");
        let starting = |number| EndpointEntry {
            started: Some(node.now),
            ..entry(number)
        };
        let successors = (6..9).map(starting).chain((3..6).map(entry)).collect();
        node.update_endpoints(ListKind::Snapshot, successors);
        assert_recovers(&mut node);
    }
}

/// One endpoint responds to nothing. Every tenth request is heavy, and light ones in between are
/// still served by the other endpoints.
#[test]
fn heavy_requests_at_stalled_endpoint_do_not_stop_light_ones() {
    for mut node in nodes_with_endpoints(4) {
        let mut served = 0;
        for i in 0..400 {
            let heavy = i % 10 == 0;
            let (id, _) = node.request_with(1, 0, ms(1000), Some(ms(if heavy { 390 } else { 40 })));
            node.answer_health_checks(&[]);
            node.advance(ms(40));
            for (other, attempt) in node
                .in_flight()
                .into_iter()
                .filter(|(other, _)| *other == id || !heavy)
            {
                if node.endpoint_of(other, attempt).0 != 0
                    && node.since_first_attempt(other) >= ms(if other == id { 40 } else { 320 })
                {
                    served += usize::from(other == id && !heavy);
                    node.end_attempt(other, attempt, Outcome::Served, Some(1.0));
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
