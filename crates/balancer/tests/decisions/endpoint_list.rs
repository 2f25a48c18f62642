//! The endpoint list: snapshots, deltas, and when it is polled.

use crate::support::endpoints_attempted;
use ottertiller_balancer::{Action, EndpointEntry, EndpointState, ListKind, Settings};
use ottertiller_balancer_simulation::fixtures::{entry, ms, response_report_settings};
use ottertiller_balancer_simulation::node::NodeSimulation;

#[test]
fn a_snapshot_removes_what_it_omits_and_endpoints_may_return() {
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), 3);
    node.update_endpoints(ListKind::Snapshot, vec![entry(1)]);
    assert!((0..10).all(|_| {
        endpoints_attempted(&node.request(0).1)
            .iter()
            .all(|s| *s == 1)
    }));
    node.update_endpoints(
        ListKind::Delta,
        vec![
            entry(2),
            EndpointEntry {
                state: EndpointState::Draining,
                ..entry(1)
            },
        ],
    );
    assert_eq!(endpoints_attempted(&node.request(0).1), [2]);
}

#[test]
fn where_the_list_must_be_polled_it_is_polled_and_a_failed_poll_is_retried() {
    let polls = |actions: &[Action]| {
        actions
            .iter()
            .filter(|a| matches!(a, Action::Subscribe { enabled: true }))
            .count()
    };
    let mut node = NodeSimulation::new(Settings {
        poll_endpoints: true,
        ..response_report_settings()
    });
    node.update_endpoints(ListKind::Cached, vec![entry(0)]);
    node.advance(ms(3000));
    assert_eq!(polls(&node.actions), 1);
    for _ in 0..5 {
        let before = node.actions.len();
        node.update_endpoints(ListKind::Failed, Vec::new());
        node.advance(ms(6000)); // within the poll interval of 10 s
        assert!(polls(&node.actions[before..]) >= 1);
        assert!(
            polls(&node.actions[before..]) <= 2,
            "polls overload discovery"
        );
    }
    node.update_endpoints(ListKind::Snapshot, vec![entry(0)]);
    let before = node.actions.len();
    node.advance(ms(60_000));
    assert_eq!(
        polls(&node.actions[before..]),
        0,
        "a subscription needs no polls"
    );
}

/// What a watch misses that ends in place of a change counts as known soon after its end, and
/// discovery works through the calls of all nodes one after the other: none of that time is there
/// to be waited out.
#[test]
fn a_watch_that_breaks_is_reopened_at_once_however_long_the_poll_interval() {
    for interval in [5_000, 20_000, 120_000] {
        let mut settings = Settings {
            poll_endpoints: true,
            ..response_report_settings()
        };
        settings.rules.poll_interval = ms(interval);
        for seed in 0..10 {
            let mut node = NodeSimulation::with_seed(settings.clone(), seed);
            node.update_endpoints(ListKind::Cached, vec![entry(0)]);
            node.advance(ms(interval / 2));
            node.update_endpoints(ListKind::Snapshot, vec![entry(0)]);
            node.advance(ms(1000)); // longer than the least time between two calls
            let polls = |node: &NodeSimulation| {
                node.actions
                    .iter()
                    .filter(|a| matches!(a, Action::Subscribe { enabled: true }))
                    .count()
            };
            let before = polls(&node);
            node.update_endpoints(ListKind::Failed, vec![]);
            assert_eq!(
                polls(&node),
                before + 1,
                "within {interval} ms, seed {seed}"
            );
            // One that breaks again and again is no reason to call without a pause.
            node.update_endpoints(ListKind::Snapshot, vec![entry(0)]);
            node.update_endpoints(ListKind::Failed, vec![]);
            assert_eq!(
                polls(&node),
                before + 1,
                "within {interval} ms, seed {seed}"
            );
            node.advance(ms(800));
            assert_eq!(
                polls(&node),
                before + 2,
                "within {interval} ms, seed {seed}"
            );
        }
    }
}
