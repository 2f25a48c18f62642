//! Load shedding that follows late attempts.

use crate::support::serve_one;
use ottertiller_balancer::{Action, Outcome, RequestId, Settings};
use ottertiller_balancer_simulation::actions::is_shed;
use ottertiller_balancer_simulation::fixtures::classes::{IDEMPOTENT, NOT_IDEMPOTENT};
use ottertiller_balancer_simulation::fixtures::{ms, response_report_settings};
use ottertiller_balancer_simulation::node::{AttemptId, NodeSimulation, RequestOptions};

/// Returns settings that allow a request only one attempt in flight at a time.
fn sequential_attempt_settings() -> Settings {
    let mut settings = response_report_settings();
    settings.limits.allow_parallel_attempts = false;
    settings
}

/// Ends the attempts in flight of the requests for which `is_served` returns true, as served.
fn end_attempts_of(node: &mut NodeSimulation, is_served: impl Fn(RequestId) -> bool) {
    for attempt in node.attempts_in_flight() {
        if is_served(attempt.request) {
            node.end_attempt(attempt, Outcome::Served, Some(1.0));
        }
    }
}

/// Plays requests one after another, and counts those that were shed. `play_one` sends a request,
/// ends its attempts, and returns the actions that followed the request.
fn count_shed(
    node: &mut NodeSimulation,
    requests: usize,
    mut play_one: impl FnMut(&mut NodeSimulation, usize) -> Vec<Action>,
) -> usize {
    (0..requests)
        .filter(|n| is_shed(&play_one(node, *n)))
        .count()
}

/// In an overload, most first attempts are cancelled for a second attempt before the deadline of
/// their request. If a node counted only attempts that are in flight at the deadline as late, it
/// would continue to overload the endpoints.
#[test]
fn attempt_cancelled_for_next_one_counts_as_late() {
    let settings = sequential_attempt_settings();
    let shed_of_300 = |cancelled: usize| {
        let mut node = NodeSimulation::with_endpoints(settings.clone(), 12);
        for _ in 0..100 {
            serve_one(&mut node, 1.0);
        }
        count_shed(&mut node, 300, |node, n| {
            let (id, actions) = node.request(IDEMPOTENT);
            if n % 3 < cancelled && !is_shed(&actions) {
                while node.attempts_in_flight() == [AttemptId::first(id)] {
                    node.advance(ms(1));
                }
            }
            node.end_all_attempts(Outcome::Served, Some(1.0));
            actions
        })
    };
    assert_eq!(shed_of_300(0), 0);
    assert!(shed_of_300(1) > 15, "{} of 300", shed_of_300(1));
}

/// An attempt is late by the response times of its own class. If another class takes a second, a
/// late attempt of a quick class still counts as late within that second.
#[test]
fn lateness_is_counted_per_class() {
    let mut settings = sequential_attempt_settings();
    for (class, time) in [(IDEMPOTENT, ms(100)), (NOT_IDEMPOTENT, ms(4000))] {
        settings.classes[class].latency_objective = time;
        settings.classes[class].deadline = time;
    }
    let mut node = NodeSimulation::with_endpoints(settings, 12);
    let shed = count_shed(&mut node, 400, |node, _| {
        let (slow, _) = node.request_with(RequestOptions {
            class: NOT_IDEMPOTENT,
            remaining: ms(4000),
            ..RequestOptions::default()
        });
        node.advance(ms(1000));
        end_attempts_of(node, |id| id == slow);
        let (quick, actions) = node.request_with(RequestOptions {
            remaining: ms(100),
            ..RequestOptions::default()
        });
        node.advance(ms(100)); // no response arrives
        assert!(node.is_finished(quick));
        actions
    });
    assert!(shed > 200, "{shed} of 400");
}

/// Hundreds of nodes with one or two requests each at an endpoint overload it, so each must shed. A
/// single node is limited by its load levels already, and sheds few requests in addition.
#[test]
fn late_attempts_at_endpoint_shared_by_nodes_cause_shedding() {
    let settings = sequential_attempt_settings();
    let shed = |nodes: u32| {
        let mut node = NodeSimulation::with_endpoints(
            Settings {
                node_count: nodes,
                ..settings.clone()
            },
            1,
        );
        count_shed(&mut node, 400, |node, n| {
            let (first, actions) = node.request(NOT_IDEMPOTENT);
            node.request(NOT_IDEMPOTENT);
            node.advance(ms(50));
            // One in five first attempts is late, which alone would cause no shedding.
            end_attempts_of(node, |id| id == first && n % 5 > 0);
            node.advance(ms(340));
            end_attempts_of(node, |_| true);
            actions
        })
    };
    assert!(shed(300) > 50, "{} of 400", shed(300));
    assert!(shed(1) < 10, "{} of 400", shed(1));
}

/// If all nodes sent all of their high-priority requests, an overload would never end.
#[test]
fn high_priority_requests_are_also_shed_in_overload() {
    let mut settings = sequential_attempt_settings();
    settings.classes[IDEMPOTENT].priority_weight = 12.0;
    settings.classes[NOT_IDEMPOTENT].priority_weight = 1.0;
    let mut node = NodeSimulation::with_endpoints(settings, 4);
    let play_late = |node: &mut NodeSimulation, n: usize| {
        let is_high = n % 4 == 0;
        let class = if is_high { IDEMPOTENT } else { NOT_IDEMPOTENT };
        let (_, actions) = node.request(class);
        node.advance(ms(390));
        node.end_all_attempts(Outcome::Served, Some(3.0));
        if is_high { actions } else { Vec::new() }
    };
    count_shed(&mut node, 400, play_late);
    let shed = count_shed(&mut node, 800, play_late);
    assert!(
        shed > 120,
        "{shed} of 200 requests of high priority were shed"
    );
}
