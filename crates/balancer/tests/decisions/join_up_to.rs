//! Join-Up-To(m): the selection of an endpoint by send counts.

use crate::support::{AttemptCounts, send_request, serve_one};
use ottertiller_balancer::{ListKind, Outcome};
use ottertiller_balancer_simulation::actions::endpoints_attempted;
use ottertiller_balancer_simulation::fixtures::classes::{IDEMPOTENT, NOT_IDEMPOTENT};
use ottertiller_balancer_simulation::fixtures::{entry, ms, response_report_settings};
use ottertiller_balancer_simulation::node::{AttemptId, NodeSimulation};

#[test]
fn every_endpoint_gets_one_request_before_any_gets_two() {
    for seed in 0..20 {
        let mut node = NodeSimulation::with_seed_and_endpoints(response_report_settings(), seed, 5);
        let mut used: Vec<u64> = (0..5)
            .flat_map(|_| send_request(&mut node, IDEMPOTENT))
            .collect();
        used.sort();
        assert_eq!(used, [0, 1, 2, 3, 4]);
    }
}

#[test]
fn ties_are_broken_at_random() {
    let mut first = AttemptCounts::default();
    for seed in 0..200 {
        let mut node = NodeSimulation::with_seed_and_endpoints(response_report_settings(), seed, 4);
        first.add(send_request(&mut node, IDEMPOTENT)[0]);
    }
    assert!(first.are_all_within(4, 25..=80), "{first:?}");
}

#[test]
fn only_idle_report_lowers_send_count_below_cap() {
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), 6);
    for _ in 0..300 {
        serve_one(&mut node, 1.0);
    }
    // All send counts are at the cap now, so the choice is random, until one endpoint reports
    // itself idle and is the only one below the cap.
    let (id, actions) = node.request(IDEMPOTENT);
    node.end_attempt(AttemptId::first(id), Outcome::Served, Some(0.0));
    for _ in 0..3 {
        assert_eq!(
            vec![serve_one(&mut node, 1.0)],
            endpoints_attempted(&actions)
        );
    }
}

#[test]
fn failed_attempt_does_not_lower_send_count() {
    let failures = [
        Outcome::Error,
        Outcome::Rejected,
        Outcome::TimedOut,
        Outcome::ConnectFailed,
    ];
    // Also with a report of no requests in flight: an endpoint that fails fast reports itself idle.
    let cases = failures
        .iter()
        .flat_map(|outcome| [(*outcome, None), (*outcome, Some(0.0))]);
    for ((outcome, report), seed) in cases.flat_map(|case| (0..20).map(move |seed| (case, seed))) {
        let mut node = NodeSimulation::with_seed_and_endpoints(response_report_settings(), seed, 2);
        let (id, actions) = node.request(NOT_IDEMPOTENT);
        let first = endpoints_attempted(&actions);
        node.end_attempt(AttemptId::first(id), outcome, report);
        if node.unfinished_requests().is_empty() {
            // The other endpoint has the lower send count now.
            assert_ne!(
                send_request(&mut node, NOT_IDEMPOTENT),
                first,
                "{outcome:?} {report:?}"
            );
        } else {
            assert!(
                node.attempts_in_flight()
                    .iter()
                    .all(|attempt| node.endpoint_of(*attempt).0 != first[0]),
                "{outcome:?}"
            );
        }
    }
}

/// Reports of three requests in flight reset no send count, so all endpoints reach the cap.
#[test]
fn choice_is_random_with_all_send_counts_at_cap() {
    let mut used = AttemptCounts::default();
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), 4);
    for _ in 0..200 {
        used.add(serve_one(&mut node, 3.0));
    }
    assert!(used.are_all_within(4, 25..=80), "{used:?}");
}

/// An idle report must not reset the count of the node's own attempts that are still in flight: the
/// report may be older than they are.
#[test]
fn late_idle_report_does_not_discount_own_attempts() {
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), 2);
    let (blocker, actions) = node.request(IDEMPOTENT);
    let busy = endpoints_attempted(&actions)[0];
    let (other, _) = node.request(IDEMPOTENT);
    node.end_attempt(AttemptId::first(other), Outcome::Served, Some(1.0));
    // Every response reports an idle endpoint, while the first attempt is still in flight.
    for _ in 0..50 {
        let (id, actions) = node.request(IDEMPOTENT);
        let to = endpoints_attempted(&actions)[0];
        node.end_attempt(AttemptId::first(id), Outcome::Served, Some(0.0));
        assert!(to != busy || !node.is_finished(blocker));
    }
    assert_eq!(node.attempts_in_flight().len(), 1);
    assert_ne!(
        send_request(&mut node, IDEMPOTENT),
        [busy],
        "the idle endpoint has the lower send count"
    );
}

/// If the send count of a new endpoint started at zero, all nodes would send it their next requests
/// at once.
#[test]
fn new_endpoint_is_not_joined_by_all_nodes_at_once() {
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), 5);
    for _ in 0..60 {
        serve_one(&mut node, 1.0);
    }
    let mut joined_at_once = 0;
    for number in 100..140 {
        node.update_endpoints(ListKind::Delta, vec![entry(number)]);
        joined_at_once += usize::from(serve_one(&mut node, 1.0) == number);
    }
    assert!(
        joined_at_once < 20,
        "{joined_at_once} of 40 new endpoints were joined at once"
    );
}

/// In an overload, a request may by chance not be admitted at an idle endpoint, while the load
/// level of a busy endpoint, at which attempts were in time, is open. The request must not join the
/// busy endpoint then.
#[test]
fn request_not_admitted_at_idle_endpoint_joins_no_busy_one() {
    let mut settings = response_report_settings();
    settings.limits.max_attempts = 1;
    let mut node = NodeSimulation::with_endpoints(settings, 2);
    for _ in 0..40 {
        let ids = [0, 1, 2].map(|_| node.request(NOT_IDEMPOTENT).0);
        node.advance(ms(20));
        for attempt in ids.map(AttemptId::first) {
            if node.attempts_in_flight().contains(&attempt) {
                node.end_attempt(attempt, Outcome::Served, None);
            }
        }
    }
    // One endpoint has an attempt in flight, the other has none.
    let (blocker, actions) = node.request(NOT_IDEMPOTENT);
    let busy = endpoints_attempted(&actions)[0];
    for _ in 0..60 {
        let (id, actions) = node.request(NOT_IDEMPOTENT);
        if endpoints_attempted(&actions).is_empty() {
            continue;
        }
        assert_ne!(
            endpoints_attempted(&actions),
            [busy],
            "a request goes to the idle endpoint or to none"
        );
        node.advance(ms(1));
        node.end_attempt(AttemptId::first(id), Outcome::Rejected, None);
    }
    assert!(!node.is_finished(blocker));
}
