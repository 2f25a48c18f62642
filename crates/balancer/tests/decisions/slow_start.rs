//! Slow start of endpoints that have just started.

use crate::support::play_requests;
use ottertiller_balancer::{EndpointId, ListKind, Outcome, Rules, Settings};
use ottertiller_balancer_simulation::actions::count_attempts_at;
use ottertiller_balancer_simulation::fixtures::classes::IDEMPOTENT;
use ottertiller_balancer_simulation::fixtures::{
    entry, ms, response_report_settings, started_entry,
};
use ottertiller_balancer_simulation::node::NodeSimulation;
use std::time::Duration;

/// Returns settings with a slow start of ten seconds, for nodes that send 33 requests a second.
fn ten_second_slow_start_settings() -> Settings {
    let mut settings = response_report_settings();
    settings.rules = Rules {
        initial_capacity: 0.2,
        slow_start_window: ms(10_000),
        overload_factor: 4.0,
        overload_window: ms(1500),
        ..settings.rules
    };
    settings
}

#[test]
fn slow_start_endpoint_gets_at_most_its_share() {
    // Three nodes send 100 requests per second to ten endpoints, so each endpoint has a capacity of
    // at least 10 requests per second.
    let mut node = NodeSimulation::with_endpoints(ten_second_slow_start_settings(), 10);
    let mut sent = Vec::new();
    for step in 0..1500u64 {
        if step == 700 {
            node.update_endpoints(ListKind::Delta, vec![started_entry(10, node.now)]);
        }
        let (_, actions) = node.request(IDEMPOTENT);
        let attempts = count_attempts_at(&actions, EndpointId(10));
        sent.extend(std::iter::repeat_n(node.now, attempts));
        node.advance(ms(30));
        node.end_all_attempts(Outcome::Served, Some(0.0));
    }
    assert!(!sent.is_empty(), "an endpoint in slow start is used");
    // This node sends 33 requests per second, 3.3 to each warm endpoint. Overload factor 4 x
    // initial capacity 0.2 x 10 requests per second x 1.5 s allow 12 requests, and this node, one
    // of three, may send 4 of them.
    let start = sent[0];
    let burst = sent.iter().filter(|at| **at < start + ms(1500)).count();
    assert!(burst <= 4, "{burst} requests in the first 1.5 s");
}

#[test]
fn endpoints_all_in_slow_start_still_serve() {
    let mut settings = response_report_settings();
    settings.rules = Rules {
        initial_capacity: 0.3,
        slow_start_window: ms(10_000),
        ..settings.rules
    };
    let mut node = NodeSimulation::with_endpoints(settings, 5);
    play_requests(&mut node, 300, |_| Outcome::Served);
    let restarted = (0..5).map(|number| started_entry(number, node.now));
    node.update_endpoints(ListKind::Snapshot, restarted.collect());
    let used = play_requests(&mut node, 100, |_| Outcome::Served);
    // The endpoints have three tenths of their capacity.
    assert!(used.total() > 20, "{used:?}");
}

/// Sends 50 requests within 1.5 s, and returns the number of attempts at an endpoint.
fn count_requests_to(node: &mut NodeSimulation, endpoint: u64) -> usize {
    play_requests(node, 50, |_| Outcome::Served).at(endpoint)
}

const HOUR: Duration = Duration::from_secs(3600);

/// Start times that may be listed for an endpoint that starts now, if the wall clock was stepped
/// before: one minute ago, nine seconds ago, and in one hour.
const LISTED_STARTS: [fn(Duration) -> Duration; 3] = [
    |now| now.saturating_sub(ms(60_000)),
    |now| now.saturating_sub(ms(9_000)),
    |now| now + HOUR,
];

#[test]
fn new_or_restarted_endpoint_slow_starts_despite_clock_step() {
    for listed_start in LISTED_STARTS {
        for id in [10, 3] {
            for kind in [ListKind::Delta, ListKind::Snapshot] {
                let mut node = NodeSimulation::with_endpoints(ten_second_slow_start_settings(), 10);
                play_requests(&mut node, 700, |_| Outcome::Served);
                let started = listed_start(node.now);
                let changed = started_entry(id, started);
                let entries = match kind {
                    ListKind::Snapshot => (0..=10)
                        .map(|number| if number == id { changed } else { entry(number) })
                        .collect(),
                    _ => vec![changed],
                };
                node.update_endpoints(kind, entries);
                let burst = count_requests_to(&mut node, id);
                assert!(
                    burst <= 4,
                    "endpoint {id} listed as {started:?}: {burst} in the first 1.5 s"
                );
                play_requests(&mut node, 400, |_| Outcome::Served);
                let warm = (0..4)
                    .map(|_| count_requests_to(&mut node, id))
                    .sum::<usize>();
                assert!(
                    warm >= 10,
                    "endpoint {id} listed as {started:?}: {warm} in 6 s once it is warm"
                );
            }
        }
    }
}

/// If the node starts after the wall clock was stepped, listed start times do not tell how old an
/// endpoint is. An endpoint that is missing from the cached list is new, whatever its start time.
#[test]
fn endpoint_not_in_cached_list_slow_starts_despite_clock_step() {
    for listed_start in LISTED_STARTS {
        let mut node = NodeSimulation::new(ten_second_slow_start_settings());
        node.update_endpoints(ListKind::Cached, (0..10).map(entry).collect());
        let started = listed_start(node.now);
        let new = started_entry(10, started);
        node.update_endpoints(
            ListKind::Snapshot,
            (0..10).map(entry).chain([new]).collect(),
        );
        // A warm endpoint would get 13 or 14 of these requests.
        let sent = (0..3)
            .map(|_| count_requests_to(&mut node, 10))
            .sum::<usize>();
        assert!(
            sent <= 9,
            "listed as {started:?}: {sent} in its first 4.5 s"
        );
    }
}

/// If the wall clock was not stepped, the capacity that an endpoint gained before it was listed
/// counts.
#[test]
fn plausible_listed_start_time_is_used() {
    let mut settings = ten_second_slow_start_settings();
    settings.rules.initial_capacity = 0.5;
    let mut node = NodeSimulation::with_endpoints(settings, 10);
    play_requests(&mut node, 700, |_| Outcome::Served);
    let listed_late = ms(2_000);
    let started = node.now - listed_late;
    node.update_endpoints(ListKind::Delta, vec![started_entry(10, started)]);
    node.advance(ms(10_000) - listed_late);
    // The endpoint is warm by now, and is sent requests without a permit.
    assert!(count_requests_to(&mut node, 10) >= 2);
}
