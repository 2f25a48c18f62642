//! Outlier ejection: failing endpoints are left out, tried again, and never all ejected.

use crate::support::{endpoints_attempted, play_requests};
use ottertiller_balancer::Outcome;
use ottertiller_balancer_simulation::fixtures::{ms, response_report_settings};
use ottertiller_balancer_simulation::node::NodeSimulation;
use std::collections::{BTreeMap, BTreeSet};

#[test]
fn endpoint_that_fails_fast_is_ejected() {
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), 4);
    let used = play_requests(&mut node, 400, |endpoint| {
        if endpoint == 0 {
            Outcome::Error
        } else {
            Outcome::Served
        }
    });
    assert!(used[&0] < 20, "{used:?}");
}

#[test]
fn ejected_endpoint_returns_after_probe_request() {
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), 4);
    play_requests(&mut node, 100, |endpoint| {
        if endpoint == 0 {
            Outcome::ConnectFailed
        } else {
            Outcome::Served
        }
    });
    node.advance(ms(20_000));
    let used = play_requests(&mut node, 100, |_| Outcome::Served);
    assert!(used[&0] > 10, "{used:?}");
}

#[test]
fn failures_of_all_endpoints_do_not_eject_them_all() {
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), 6);
    play_requests(&mut node, 200, |_| Outcome::Error);
    // Errors reset no estimate, so whoever serves first is the lowest: only requests at once meet
    // more.
    for _ in 0..10 {
        (0..6).for_each(|_| drop(node.request(1)));
        node.advance(ms(30));
        for (id, attempt) in node.in_flight() {
            node.end_attempt(id, attempt, Outcome::Served, Some(0.0));
        }
    }
    (0..6).for_each(|_| drop(node.request(1)));
    let used: BTreeSet<_> = node
        .in_flight()
        .iter()
        .map(|(id, attempt)| node.endpoint_of(*id, *attempt).0)
        .collect();
    assert!(used.len() >= 3, "{used:?}");
}

#[test]
fn endpoint_that_never_responds_is_ejected() {
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), 4);
    let mut used = BTreeMap::new();
    for _ in 0..200 {
        node.request(1);
        node.advance(ms(30));
        for (id, attempt) in node.in_flight() {
            let endpoint = node.endpoint_of(id, attempt).0;
            if endpoint != 0 {
                *used.entry(endpoint).or_insert(0) += 1;
                node.end_attempt(id, attempt, Outcome::Served, Some(0.0));
            }
        }
    }
    let silent = endpoints_attempted(&node.actions)
        .iter()
        .filter(|s| **s == 0)
        .count();
    assert!(
        silent < 20,
        "{silent} of 200 attempts at the silent endpoint, {used:?}"
    );
}

#[test]
fn long_pause_of_node_ejects_no_endpoint() {
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), 6);
    play_requests(&mut node, 100, |_| Outcome::Served);
    let ids: Vec<_> = (0..30).map(|_| node.request(1).0).collect();
    // The node stands still long past every objective, then finds all its time-outs at once.
    node.now += ms(900);
    for (id, attempt) in node.in_flight() {
        node.end_attempt(id, attempt, Outcome::TimedOut, None);
    }
    assert!(ids.iter().all(|id| node.is_answered(*id)));
    let mut used: Vec<u64> = (0..6)
        .flat_map(|_| endpoints_attempted(&node.request(1).1))
        .collect();
    used.sort();
    used.dedup();
    assert_eq!(used.len(), 6, "{used:?}");
}

/// A quiet node with several unreachable endpoints must not send most of its requests there as
/// probe requests.
#[test]
fn probes_of_ejected_endpoints_take_few_requests() {
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), 8);
    let unreachable = |endpoint: u64| {
        if endpoint < 3 {
            Outcome::ConnectFailed
        } else {
            Outcome::Served
        }
    };
    play_requests(&mut node, 100, unreachable);
    let used = play_requests(&mut node, 400, unreachable);
    let trials: usize = (0..3)
        .map(|endpoint| used.get(&endpoint).copied().unwrap_or(0))
        .sum();
    assert!((1..60).contains(&trials), "{used:?}");
}

/// No minimum number of endpoints stays in use when the node reaches only a few.
#[test]
fn unreachable_majority_of_endpoints_is_ejected() {
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), 10);
    let reach = |endpoint: u64| {
        if endpoint < 2 {
            Outcome::Served
        } else {
            Outcome::ConnectFailed
        }
    };
    play_requests(&mut node, 200, reach);
    let used = play_requests(&mut node, 200, reach);
    let reached: usize = (0..2)
        .map(|endpoint| used.get(&endpoint).copied().unwrap_or(0))
        .sum();
    assert!(reached > 150, "{used:?}");
}
