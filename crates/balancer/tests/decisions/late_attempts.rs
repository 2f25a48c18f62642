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

#[test]
fn an_attempt_cancelled_for_the_next_one_counts_as_late() {
    // Guards against: in an overload most first attempts are cancelled before their request's time
    // is over. A node that counts only what is late at the very end goes on filling the endpoints
    // up.
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

#[test]
fn lateness_counts_by_class_however_long_other_classes_take() {
    // Guards against: where one class takes a second, nothing that a quick class loses within that
    // is ever counted.
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

#[test]
fn late_attempts_at_an_endpoint_that_the_node_crowds_itself_shed_requests_too() {
    // Guards against: of hundreds of nodes each has one or two requests at an endpoint, which is
    // overloaded by then.
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

#[test]
fn in_an_overload_requests_of_high_priority_are_shed_as_well() {
    // Guards against: what has the highest priority is tried so often, by all nodes, that the
    // overload never ends.
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
