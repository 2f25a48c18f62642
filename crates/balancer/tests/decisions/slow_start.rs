//! Slow start: endpoints that have just started.

use crate::simulation::fixtures::*;
use crate::simulation::node::NodeSimulation;
use crate::support::*;
use ottertiller_balancer::*;

#[test]
fn an_endpoint_in_slow_start_gets_no_more_than_its_share() {
    // Ten endpoints carry 100 requests a second of three nodes, so each has a capacity of at least 10 a second.
    let mut settings = response_report_settings();
    settings.rules = Rules {
        initial_capacity: 0.2,
        slow_start_window: ms(10_000),
        overload_factor: 4.0,
        overload_window: ms(1500),
        ..settings.rules
    };
    let mut node = NodeSimulation::with_endpoints(settings, 10);
    let mut sent = Vec::new();
    for step in 0..1500u64 {
        if step == 700 {
            let started = Some(node.now);
            node.update_endpoints(ListKind::Delta, vec![EndpointEntry { started, ..entry(10) }]);
        }
        let (_, actions) = node.request(0);
        sent.extend(endpoints_attempted(&actions).iter().filter(|s| **s == 10).map(|_| node.now));
        node.advance(ms(30));
        for (id, attempt) in node.in_flight() {
            node.end_attempt(id, attempt, Outcome::Served, Some(0.0));
        }
    }
    assert!(!sent.is_empty(), "an endpoint in slow start is used");
    // This node sends 33 a second, 3.3 to each of the others; its third of 4 x 0.2 x 10 a second for 1.5 s is 4.
    let start = sent[0];
    let burst = sent.iter().filter(|at| **at < start + ms(1500)).count();
    assert!(burst <= 4, "{burst} requests in the first 1.5 s");
}

#[test]
fn endpoints_that_are_all_in_slow_start_still_serve() {
    let mut settings = response_report_settings();
    settings.rules = Rules { initial_capacity: 0.3, slow_start_window: ms(10_000), ..settings.rules };
    let mut node = NodeSimulation::with_endpoints(settings, 5);
    play_requests(&mut node, 300, |_| Outcome::Served);
    let started = Some(node.now);
    node.update_endpoints(
        ListKind::Snapshot,
        (0..5).map(|n| EndpointEntry { started, ..entry(n) }).collect(),
    );
    let used = play_requests(&mut node, 100, |_| Outcome::Served);
    assert!(used.values().sum::<usize>() > 20, "{used:?}"); // they have three tenths of their capacity
}
