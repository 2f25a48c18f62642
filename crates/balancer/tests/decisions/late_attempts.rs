//! Load shedding after late attempts.

use crate::support::{is_shed, serve_one};
use ottertiller_balancer::{Action, Outcome, RequestId, Settings};
use ottertiller_balancer_simulation::fixtures::{ms, response_report_settings};
use ottertiller_balancer_simulation::node::NodeSimulation;

/// Plays requests one after another, each with what its attempts meet; counts those that were shed.
fn count_shed(
    node: &mut NodeSimulation,
    requests: usize,
    mut play_one: impl FnMut(&mut NodeSimulation, usize) -> Vec<Action>,
) -> usize {
    (0..requests)
        .filter(|n| is_shed(&play_one(node, *n)))
        .count()
}

/// In an overload most first attempts are cancelled before the deadline of their request. A node
/// that counts only attempts which are late at their deadline would continue to overload the
/// endpoints.
#[test]
fn attempt_cancelled_for_next_one_counts_as_late() {
    let mut settings = response_report_settings();
    settings.limits.parallel_attempts = false;
    let shed_of_300 = |cancelled: usize| {
        let mut node = NodeSimulation::with_endpoints(settings.clone(), 12);
        for _ in 0..100 {
            serve_one(&mut node, 1.0);
        }
        count_shed(&mut node, 300, |node, n| {
            let (id, actions) = node.request(0);
            if n % 3 < cancelled && !is_shed(&actions) {
                while node.in_flight() == [(id, 0)] {
                    node.advance(ms(1));
                }
            }
            for (id, attempt) in node.in_flight() {
                node.end_attempt(id, attempt, Outcome::Served, Some(1.0));
            }
            actions
        })
    };
    assert_eq!(shed_of_300(0), 0);
    assert!(shed_of_300(1) > 15, "{} of 300", shed_of_300(1));
}

/// Where one class takes a second, late attempts of a quick class within that second count all the
/// same.
#[test]
fn lateness_is_counted_per_class() {
    let mut settings = response_report_settings();
    settings.limits.parallel_attempts = false;
    (
        settings.classes[0].latency_objective,
        settings.classes[0].deadline,
    ) = (ms(100), ms(100));
    (
        settings.classes[1].latency_objective,
        settings.classes[1].deadline,
    ) = (ms(4000), ms(4000));
    let mut node = NodeSimulation::with_endpoints(settings, 12);
    let shed = count_shed(&mut node, 400, |node, _| {
        let (slow, _) = node.request_with(1, 0, ms(4000), None);
        node.advance(ms(1000));
        for (id, attempt) in node.in_flight().into_iter().filter(|(id, _)| *id == slow) {
            node.end_attempt(id, attempt, Outcome::Served, Some(1.0));
        }
        let (quick, actions) = node.request_with(0, 0, ms(100), None);
        node.advance(ms(100)); // no answer comes
        assert!(node.is_answered(quick));
        actions
    });
    assert!(shed > 200, "{shed} of 400");
}

/// Hundreds of nodes with one or two requests each at an endpoint overload it. A node without
/// others beside it is limited by its crowding levels already, and sheds little.
#[test]
fn late_attempts_at_endpoint_crowded_by_node_cause_shedding() {
    let mut settings = response_report_settings();
    settings.limits.parallel_attempts = false;
    let shed = |nodes: u32| {
        let mut node = NodeSimulation::with_endpoints(
            Settings {
                node_count: nodes,
                ..settings.clone()
            },
            1,
        );
        count_shed(&mut node, 400, |node, n| {
            let (first, actions) = node.request(1);
            node.request(1);
            node.advance(ms(50));
            let answer = |node: &mut NodeSimulation, ready: &dyn Fn(RequestId) -> bool| {
                for (id, attempt) in node.in_flight().into_iter().filter(|(id, _)| ready(*id)) {
                    node.end_attempt(id, attempt, Outcome::Served, Some(1.0));
                }
            };
            // Alone, so few late ones would shed nothing.
            answer(node, &|id| id == first && n % 5 > 0);
            node.advance(ms(340));
            answer(node, &|_| true);
            actions
        })
    };
    assert!(shed(300) > 50, "{} of 400", shed(300));
    // A node without others beside it has crowded the endpoint itself, and what it sends there is
    // limited already.
    assert!(shed(1) < 10, "{} of 400", shed(1));
}

/// If all nodes sent all requests of the highest priority, an overload would never end.
#[test]
fn high_priority_requests_are_also_shed_in_overload() {
    let mut settings = response_report_settings();
    settings.limits.parallel_attempts = false;
    (
        settings.classes[0].priority_weight,
        settings.classes[1].priority_weight,
    ) = (12.0, 1.0);
    let mut node = NodeSimulation::with_endpoints(settings, 4);
    let play_late = |node: &mut NodeSimulation, n: usize| {
        let (_, actions) = node.request(usize::from(n % 4 > 0));
        node.advance(ms(390));
        for (id, attempt) in node.in_flight() {
            node.end_attempt(id, attempt, Outcome::Served, Some(3.0));
        }
        if n % 4 == 0 { actions } else { Vec::new() }
    };
    count_shed(&mut node, 400, play_late);
    let shed = count_shed(&mut node, 800, play_late);
    assert!(
        shed > 120,
        "{shed} of 200 requests of high priority were shed"
    );
}
