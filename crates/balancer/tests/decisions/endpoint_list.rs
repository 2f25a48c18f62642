//! The endpoint list: snapshots, deltas, and the polling of the list.

use crate::support::send_request;
use ottertiller_balancer::{ListKind, Settings};
use ottertiller_balancer_simulation::actions::count_polls;
use ottertiller_balancer_simulation::fixtures::classes::IDEMPOTENT;
use ottertiller_balancer_simulation::fixtures::{
    draining_entry, entry, ms, response_report_settings,
};
use ottertiller_balancer_simulation::node::NodeSimulation;

#[test]
fn snapshot_removes_omitted_endpoints_until_listed_again() {
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), 3);
    node.update_endpoints(ListKind::Snapshot, vec![entry(1)]);
    assert!((0..10).all(|_| {
        send_request(&mut node, IDEMPOTENT)
            .iter()
            .all(|endpoint| *endpoint == 1)
    }));
    node.update_endpoints(ListKind::Delta, vec![entry(2), draining_entry(1)]);
    assert_eq!(send_request(&mut node, IDEMPOTENT), [2]);
}

/// With `poll_endpoints`, the node polls the list until a snapshot arrives. The snapshot opens a
/// watch, during which the node does not poll.
#[test]
fn failed_poll_is_retried_within_poll_interval() {
    let mut node = NodeSimulation::new(Settings {
        poll_endpoints: true,
        ..response_report_settings()
    });
    node.update_endpoints(ListKind::Cached, vec![entry(0)]);
    node.advance(ms(3000));
    assert_eq!(count_polls(&node.actions), 1);
    for _ in 0..5 {
        let before = node.actions.len();
        node.fail_endpoint_list();
        node.advance(ms(6000)); // within the poll interval of 10 s
        let polls = count_polls(&node.actions[before..]);
        assert!(polls >= 1);
        assert!(polls <= 2, "polls overload discovery");
    }
    node.update_endpoints(ListKind::Snapshot, vec![entry(0)]);
    let before = node.actions.len();
    node.advance(ms(60_000));
    assert_eq!(
        count_polls(&node.actions[before..]),
        0,
        "an open watch needs no polls"
    );
}

/// A node counts as notified of changes soon after its watch has ended, and discovery handles the
/// calls of all nodes one after the other. A node therefore must reopen a broken watch at once, but
/// must pause if the watch breaks again right after it was opened.
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
            let before = count_polls(&node.actions);
            node.fail_endpoint_list();
            assert_eq!(
                count_polls(&node.actions),
                before + 1,
                "within {interval} ms, seed {seed}"
            );
            // A watch that breaks repeatedly is reopened after a pause.
            node.update_endpoints(ListKind::Snapshot, vec![entry(0)]);
            node.fail_endpoint_list();
            assert_eq!(
                count_polls(&node.actions),
                before + 1,
                "within {interval} ms, seed {seed}"
            );
            node.advance(ms(800));
            assert_eq!(
                count_polls(&node.actions),
                before + 2,
                "within {interval} ms, seed {seed}"
            );
        }
    }
}
