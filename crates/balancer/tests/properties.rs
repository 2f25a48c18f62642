//! Random legal histories: the rules that a node must keep hold in each, and the same history gives
//! the same actions.

use ottertiller_balancer::{
    Action, EndpointEntry, EndpointId, EndpointState, Event, Limits, ListKind, Outcome, Settings,
};
use ottertiller_balancer_simulation::fixtures::{
    entry, health_check_settings, ms, response_report_settings, settings,
};
use ottertiller_balancer_simulation::node::NodeSimulation;
use proptest::prelude::{
    Just, Strategy, TestCaseError, any, prop, prop_assert, prop_assert_eq, prop_oneof, proptest,
};
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

/// One step of a history. The numbers choose among what is there at that point.
#[derive(Clone, Debug)]
enum Step {
    Request {
        class: usize,
        remaining: u64,
        cost: Option<u64>,
    },
    AttemptEnd {
        which: usize,
        outcome: usize,
        load: Option<u8>,
    },
    HealthCheckEnd {
        load: Option<u8>,
    },
    ClientDisconnect {
        which: usize,
    },
    EndpointList {
        snapshot: bool,
        entries: Vec<(u64, u8, bool)>,
    },
    ListFailed,
    Advance {
        time: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let load = || prop::option::of(0u8..4);
    prop_oneof![
        6 => (0usize..5, 1u64..1500, prop::option::of(1u64..600))
            .prop_map(|(class, remaining, cost)| Step::Request { class, remaining, cost }),
        6 => (any::<usize>(), 0usize..8, load()).prop_map(|(which, outcome, load)| Step::AttemptEnd { which, outcome, load }),
        3 => load().prop_map(|load| Step::HealthCheckEnd { load }),
        1 => any::<usize>().prop_map(|which| Step::ClientDisconnect { which }),
        1 => (any::<bool>(), prop::collection::vec((0u64..6, 0u8..8, any::<bool>()), 0..5))
            .prop_map(|(snapshot, entries)| Step::EndpointList { snapshot, entries }),
        1 => Just(Step::ListFailed),
        4 => (1u64..400).prop_map(|time| Step::Advance { time }),
    ]
}

const OUTCOMES: [Outcome; 8] = [
    Outcome::Served,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

fn play(settings: Settings, seed: u64, steps: &[Step]) -> Vec<Action> {
    let mut node = NodeSimulation::with_seed(settings, seed);
    node.update_endpoints(ListKind::Cached, (0..4).map(entry).collect());
    for step in steps {
        match step {
            Step::Request {
                class,
                remaining,
                cost,
            } => {
                node.request_with(*class, 0, ms(*remaining), cost.map(ms));
            }
            Step::AttemptEnd {
                which,
                outcome,
                load,
            } => {
                let in_flight = node.in_flight();
                if !in_flight.is_empty() {
                    let (id, attempt) = in_flight[which % in_flight.len()];
                    node.end_attempt(id, attempt, OUTCOMES[*outcome], load.map(f32::from));
                }
            }
            Step::HealthCheckEnd { load } => drop(node.end_health_check(load.map(f32::from))),
            Step::ClientDisconnect { which } => {
                let unanswered = node.unanswered();
                if !unanswered.is_empty() {
                    node.disconnect_client(unanswered[which % unanswered.len()]);
                }
            }
            Step::EndpointList { snapshot, entries } => {
                let now = node.now;
                let entries = entries.iter().map(|(number, state, restarted)| {
                    let state = match state {
                        0 => EndpointState::Removed,
                        1 => EndpointState::Draining,
                        _ => EndpointState::Ready,
                    };
                    let started = restarted.then_some(now);
                    EndpointEntry {
                        state,
                        started,
                        ..entry(*number)
                    }
                });
                let kind = if *snapshot {
                    ListKind::Snapshot
                } else {
                    ListKind::Delta
                };
                let entries = entries
                    .filter(|e| !snapshot || e.state != EndpointState::Removed)
                    .collect();
                node.update_endpoints(kind, entries);
            }
            Step::ListFailed => drop(node.deliver(Event::EndpointList {
                kind: ListKind::Failed,
                entries: Vec::new(),
            })),
            Step::Advance { time } => node.advance(ms(*time)),
        }
    }
    node.advance(ms(1600));
    assert!(
        node.unanswered().is_empty(),
        "rule 1: {:?} left without an answer",
        node.unanswered()
    );
    assert!(node.in_flight().is_empty());
    node.actions
}

fn config() -> Config {
    Config {
        cases: 256,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_261_128),
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn invariants_hold_with_health_check_reports(seed: u64, steps in prop::collection::vec(step(), 1..120)) {
        let mut settings = health_check_settings();
        settings.rules.initial_capacity = 0.2;
        settings.rules.slow_start_window = ms(5000);
        settings.rules.drain_grace = ms(0);
        prop_assert_eq!(play(settings.clone(), seed, &steps), play(settings, seed, &steps));
    }

    #[test]
    fn invariants_hold_with_response_reports(seed: u64, steps in prop::collection::vec(step(), 1..120)) {
        let mut settings = response_report_settings();
        settings.limits.parallel_attempts = false;
        settings.rules.drain_grace = ms(0);
        settings.poll_endpoints = true;
        play(settings, seed, &steps);
    }

    #[test]
    fn invariants_hold_with_minimal_limits(seed: u64, steps in prop::collection::vec(step(), 1..120)) {
        let mut settings = settings();
        settings.limits = Limits { max_attempts: 1, cancel: false, ..Settings::default().limits };
        settings.node_count = 1;
        settings.rules.drain_grace = ms(0);
        play(settings, seed, &steps);
    }
}

/// Whether what was sent within a window is no more than an endpoint in slow start is allowed.
fn check_window(in_window: f64, allowed: f64) -> Result<(), TestCaseError> {
    prop_assert!(
        in_window <= allowed,
        "slow start: {} sent within a window, {} allowed",
        in_window,
        allowed
    );
    Ok(())
}

/// Slow start, by an account of its own. This node is the only one with traffic, so the whole
/// allowance of an endpoint in slow start is its to keep: factor x present capacity x window, with
/// one request of slack.
fn play_one_node_before_an_endpoint_in_slow_start(
    seed: u64,
    arrivals: &[(usize, u64)],
) -> Result<(), TestCaseError> {
    const STARTING: EndpointId = EndpointId(9);
    let work = ms(20); // so an endpoint's full capacity is 50 requests a second
    let mut settings = response_report_settings();
    settings.rules.initial_capacity = 0.05;
    settings.rules.slow_start_window = ms(20_000);
    settings.rules.overload_factor = 4.0;
    settings.rules.overload_window = ms(1500);
    let mut node = NodeSimulation::with_seed(settings, seed);
    node.update_endpoints(ListKind::Snapshot, (0..3).map(entry).collect());
    let mut free_at = BTreeMap::new();
    let (mut seen, mut sent, mut began) = (0, Vec::new(), None);
    for (step, (requests, pause)) in arrivals.iter().enumerate() {
        if step == arrivals.len() / 3 {
            began = Some(node.now);
            node.update_endpoints(
                ListKind::Delta,
                vec![EndpointEntry {
                    started: began,
                    ..entry(STARTING.0)
                }],
            );
        }
        (0..*requests).for_each(|_| drop(node.request(0)));
        for _ in 0..*pause {
            node.advance(ms(1));
            // Each endpoint serves one request after the other.
            for (id, attempt) in node.in_flight() {
                let endpoint = node.endpoint_of(id, attempt);
                let free = free_at.entry(endpoint).or_insert(node.now);
                if *free <= node.now && !node.is_answered(id) {
                    *free = node.now + work;
                    node.end_attempt(id, attempt, Outcome::Served, Some(0.0));
                }
            }
        }
        let to_starting = |action: &&Action| {
            matches!(
                action,
                Action::StartAttempt {
                    endpoint: STARTING,
                    ..
                }
            )
        };
        let sends = node.actions[seen..].iter().filter(to_starting).count();
        sent.extend(std::iter::repeat_n(node.now, sends));
        seen = node.actions.len();
        if let Some(began) = began {
            let fraction = 0.05 + 0.95 * (node.now - began).as_secs_f64() / 20.0;
            let in_window = sent.iter().filter(|at| **at + ms(1500) >= node.now).count() as f64;
            let allowed = 4.0 * fraction * 50.0 * 1.5 + 1.0;
            check_window(in_window, allowed)?;
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(Config { cases: 10, ..config() })]

    #[test]
    fn slow_start_endpoint_is_not_overloaded_by_one_node(seed: u64, arrivals in prop::collection::vec((0usize..12, 1u64..60), 120..240)) {
        play_one_node_before_an_endpoint_in_slow_start(seed, &arrivals)?;
    }
}

const QUIET_NODES: u32 = 200;
const ROUND: Duration = Duration::from_millis(50);
const STARTING_ENDPOINT: EndpointId = EndpointId(10);

/// Nodes that all know the endpoints 0 to 9.
fn quiet_nodes(seed: u64) -> Vec<NodeSimulation> {
    let mut settings = response_report_settings();
    settings.node_count = QUIET_NODES;
    settings.rules.initial_capacity = 0.12;
    settings.rules.slow_start_window = ms(19_000);
    settings.rules.overload_factor = 1.5;
    settings.rules.overload_window = ms(1500);
    let start = |node_index: u32| {
        let settings = Settings {
            node_index,
            ..settings.clone()
        };
        let mut node = NodeSimulation::with_seed(settings, seed.wrapping_add(node_index.into()));
        node.update_endpoints(ListKind::Snapshot, (0..10).map(entry).collect());
        node
    };
    (0..QUIET_NODES).map(start).collect()
}

/// Plays rounds, and returns the round of each attempt at the endpoint in slow start. Each node has
/// a request every 500 ms, which is 400 a second in all: 40 a second for each of ten endpoints.
fn play_rounds(nodes: &mut [NodeSimulation], rounds: Range<u32>) -> Vec<u32> {
    let at_starting_endpoint = |action: &&Action| {
        matches!(
            action,
            Action::StartAttempt {
                endpoint: STARTING_ENDPOINT,
                ..
            }
        )
    };
    let mut sent = Vec::new();
    for round in rounds {
        for (index, node) in nodes.iter_mut().enumerate() {
            if index as u32 % 10 == round % 10 {
                let before = node.actions.len();
                node.request(0);
                let attempts = node.actions[before..]
                    .iter()
                    .filter(at_starting_endpoint)
                    .count();
                sent.extend(std::iter::repeat_n(round, attempts));
            }
            node.advance(ROUND);
            for (id, attempt) in node.in_flight() {
                node.end_attempt(id, attempt, Outcome::Served, Some(1.0));
            }
        }
    }
    sent
}

/// Slow start at full size: hundreds of quiet nodes, none of which alone sends much, and one
/// endpoint that has been in slow start for a while when all of them turn to it at once. Counts
/// what all together send it in a window.
fn play_many_nodes_before_an_endpoint_in_slow_start(seed: u64) -> Result<(), TestCaseError> {
    let mut nodes = quiet_nodes(seed);
    play_rounds(&mut nodes, 0..200);
    for node in &mut nodes {
        let started = Some(node.now);
        let starting = EndpointEntry {
            started,
            ..entry(STARTING_ENDPOINT.0)
        };
        node.update_endpoints(ListKind::Delta, vec![starting]);
    }
    // Four seconds later most of the others drain.
    play_rounds(&mut nodes, 200..280);
    for node in &mut nodes {
        let drain = |n| EndpointEntry {
            state: EndpointState::Draining,
            ..entry(n)
        };
        node.update_endpoints(ListKind::Delta, (3..10).map(drain).collect());
    }
    let sent = play_rounds(&mut nodes, 280..340);
    let capacity = 40.0 / 0.6; // the endpoints were in use for six tenths
    for round in 310..340 {
        let fraction = 0.12 + 0.88 * f64::from(round - 200) * 0.05 / 19.0;
        let in_window = sent
            .iter()
            .filter(|at| **at <= round && **at + 30 > round)
            .count() as f64;
        let allowed = 1.5 * fraction * capacity * 1.5;
        check_window(in_window, allowed)?;
    }
    Ok(())
}

#[test]
fn slow_start_endpoint_is_not_overloaded_by_many_quiet_nodes() {
    for seed in [1, 1000, 2000] {
        play_many_nodes_before_an_endpoint_in_slow_start(seed)
            .unwrap_or_else(|broken| panic!("{broken}"));
    }
}
