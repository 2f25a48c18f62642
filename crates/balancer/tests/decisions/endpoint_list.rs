//! The endpoint list: snapshots, deltas, and when it is polled.

use crate::support::endpoints_attempted;
use ottertiller_balancer::{Action, EndpointEntry, EndpointState, ListKind, Settings};
use ottertiller_balancer_simulation::fixtures::{entry, ms, response_report_settings};
use ottertiller_balancer_simulation::node::NodeSimulation;

#[test]
fn snapshot_removes_omitted_endpoints_until_listed_again() {
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

/// With `poll_endpoints`, the list is polled until a snapshot arrives, and not any more after that.
#[test]
fn failed_poll_is_retried_within_poll_interval() {
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

/// The node counts as notified of changes soon after its watch has ended, and discovery handles the
/// calls of all nodes one after the other. A node therefore must not wait before it reopens its
/// watch.
#[test]
fn broken_watch_is_reopened_at_once_with_any_poll_interval() {
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
