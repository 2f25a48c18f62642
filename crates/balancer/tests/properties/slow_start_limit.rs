//! The limit of an endpoint in slow start, by an account of the tests' own. The limit in an
//! overload window is factor x present capacity x window.

use crate::config;
use ottertiller_balancer::{EndpointId, ListKind, Outcome, Rules, Settings};
use ottertiller_balancer_simulation::actions::count_attempts_at;
use ottertiller_balancer_simulation::fixtures::classes::IDEMPOTENT;
use ottertiller_balancer_simulation::fixtures::{
    draining_entry, ms, response_report_settings, started_entry,
};
use ottertiller_balancer_simulation::node::NodeSimulation;
use proptest::prelude::{Strategy, TestCaseError, prop, prop_assert, proptest};
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

/// Returns the fraction of its capacity that an endpoint has at some time after its start.
fn capacity_fraction(rules: &Rules, since_start: Duration) -> f64 {
    let progress = since_start.as_secs_f64() / rules.slow_start_window.as_secs_f64();
    rules.initial_capacity + (1.0 - rules.initial_capacity) * progress
}

/// Returns the limit of an endpoint in an overload window, some time after its start. `capacity` is
/// what it can do after its slow start, in requests a second.
fn limit_in_window(rules: &Rules, capacity: f64, since_start: Duration) -> f64 {
    let window = rules.overload_window.as_secs_f64();
    rules.overload_factor * capacity_fraction(rules, since_start) * capacity * window
}

/// Checks that the attempts within a window are no more than the limit.
fn check_window(attempts: usize, limit: f64) -> Result<(), TestCaseError> {
    prop_assert!(
        attempts as f64 <= limit,
        "slow start: {} sent within a window, {} allowed",
        attempts,
        limit
    );
    Ok(())
}

/// Some requests at once, and the milliseconds until the next ones.
type Arrivals = (usize, u64);

/// Generates arrivals of up to 11 requests at a time.
fn arrivals() -> impl Strategy<Value = Vec<Arrivals>> {
    prop::collection::vec((0usize..12, 1u64..60), 120..240)
}

/// One node, which may use the whole limit of an endpoint in slow start, and endpoints that serve
/// one request after the other.
struct SequentialEndpoints {
    node: NodeSimulation,
    /// When each endpoint may end its next attempt.
    free_at: BTreeMap<EndpointId, Duration>,
    /// The times of the attempts at the endpoint in slow start.
    attempts_at_starting: Vec<Duration>,
    /// The number of actions that were searched for such attempts.
    actions_seen: usize,
}

impl SequentialEndpoints {
    /// The endpoint in slow start, beside the endpoints 0, 1 and 2.
    const STARTING: EndpointId = EndpointId(9);
    /// The time that an endpoint takes for a request.
    const WORK: Duration = Duration::from_millis(20);
    /// The capacity that follows, in requests a second.
    const CAPACITY: f64 = 50.0;

    fn new(settings: Settings, seed: u64) -> Self {
        SequentialEndpoints {
            node: NodeSimulation::with_seed_and_endpoints(settings, seed, 3),
            free_at: BTreeMap::new(),
            attempts_at_starting: Vec::new(),
            actions_seen: 0,
        }
    }

    /// Plays arrivals, and records the attempts at the endpoint in slow start.
    fn play(&mut self, (requests, pause): Arrivals) {
        for _ in 0..requests {
            self.node.request(IDEMPOTENT);
        }
        for _ in 0..pause {
            self.node.advance(ms(1));
            self.serve();
        }
        let new_actions = &self.node.actions[self.actions_seen..];
        let attempts = count_attempts_at(new_actions, Self::STARTING);
        self.actions_seen = self.node.actions.len();
        self.attempts_at_starting
            .extend(std::iter::repeat_n(self.node.now, attempts));
    }

    /// Ends an attempt at each endpoint that has had the time for it.
    fn serve(&mut self) {
        let now = self.node.now;
        for attempt in self.node.attempts_in_flight() {
            let endpoint = self.node.endpoint_of(attempt);
            let free_at = self.free_at.entry(endpoint).or_insert(now);
            if *free_at <= now && !self.node.is_finished(attempt.request) {
                *free_at = now + Self::WORK;
                self.node.end_attempt(attempt, Outcome::Served, Some(0.0));
            }
        }
    }

    /// Counts the attempts at the endpoint in slow start within the last window.
    fn attempts_within(&self, window: Duration) -> usize {
        self.attempts_at_starting
            .iter()
            .filter(|at| **at + window >= self.node.now)
            .count()
    }
}

/// Plays arrivals at one node, and checks the limit after each from the start of an endpoint on.
fn play_one_node(seed: u64, arrivals: &[Arrivals]) -> Result<(), TestCaseError> {
    let mut settings = response_report_settings();
    settings.rules = Rules {
        initial_capacity: 0.05,
        slow_start_window: ms(20_000),
        overload_factor: 4.0,
        overload_window: ms(1500),
        ..settings.rules
    };
    let rules = settings.rules;
    let mut simulation = SequentialEndpoints::new(settings, seed);
    let (before_start, after_start) = arrivals.split_at(arrivals.len() / 3);
    for arrivals in before_start {
        simulation.play(*arrivals);
    }
    let started = simulation.node.now;
    let starting = started_entry(SequentialEndpoints::STARTING.0, started);
    simulation
        .node
        .update_endpoints(ListKind::Delta, vec![starting]);
    for arrivals in after_start {
        simulation.play(*arrivals);
        let since_start = simulation.node.now - started;
        let attempts = simulation.attempts_within(rules.overload_window);
        // One request more may be sent at any time.
        let limit = limit_in_window(&rules, SequentialEndpoints::CAPACITY, since_start) + 1.0;
        check_window(attempts, limit)?;
    }
    Ok(())
}

proptest! {
    #![proptest_config(config(10))]

    #[test]
    fn slow_start_endpoint_is_not_overloaded_by_one_node(seed: u64, arrivals in arrivals()) {
        play_one_node(seed, &arrivals)?;
    }
}

const STARTING_ENDPOINT: EndpointId = EndpointId(10);
const QUIET_NODES: u32 = 200;
/// The endpoints beside the one in slow start.
const WARM_ENDPOINTS: u64 = 10;
const ROUND: Duration = Duration::from_millis(50);
/// Each node has a request every ten rounds, which is 400 a second in all.
const ROUNDS_BETWEEN_REQUESTS: u32 = 10;
/// The round in which an endpoint starts.
const START_ROUND: u32 = 200;
/// The round in which most other endpoints drain.
const DRAIN_ROUND: u32 = 280;
const LAST_ROUND: u32 = 340;
/// The rounds of an overload window.
const WINDOW_ROUNDS: u32 = 30;

/// Returns settings with load reports that come with responses.
fn quiet_node_settings() -> Settings {
    let mut settings = response_report_settings();
    settings.node_count = QUIET_NODES;
    settings.rules = Rules {
        initial_capacity: 0.12,
        slow_start_window: ms(19_000),
        overload_factor: 1.5,
        overload_window: ROUND * WINDOW_ROUNDS,
        ..settings.rules
    };
    settings
}

/// Starts nodes that know the warm endpoints.
fn start_quiet_nodes(settings: &Settings, seed: u64) -> Vec<NodeSimulation> {
    let start = |node_index: u32| {
        let settings = Settings {
            node_index,
            ..settings.clone()
        };
        let seed = seed.wrapping_add(node_index.into());
        NodeSimulation::with_seed_and_endpoints(settings, seed, WARM_ENDPOINTS)
    };
    (0..QUIET_NODES).map(start).collect()
}

/// Plays rounds, and returns the round of each attempt at the endpoint in slow start.
fn play_rounds(nodes: &mut [NodeSimulation], rounds: Range<u32>) -> Vec<u32> {
    let mut sent = Vec::new();
    for round in rounds {
        for (index, node) in nodes.iter_mut().enumerate() {
            if index as u32 % ROUNDS_BETWEEN_REQUESTS == round % ROUNDS_BETWEEN_REQUESTS {
                let (_, actions) = node.request(IDEMPOTENT);
                let attempts = count_attempts_at(&actions, STARTING_ENDPOINT);
                sent.extend(std::iter::repeat_n(round, attempts));
            }
            node.advance(ROUND);
            node.end_all_attempts(Outcome::Served, Some(1.0));
        }
    }
    sent
}

/// Plays hundreds of quiet nodes, none of which alone sends much, and an endpoint in slow start to
/// which all of them turn at once. Checks what all together send it in a window.
fn play_many_nodes(seed: u64) -> Result<(), TestCaseError> {
    let settings = quiet_node_settings();
    let mut nodes = start_quiet_nodes(&settings, seed);
    play_rounds(&mut nodes, 0..START_ROUND);
    for node in &mut nodes {
        let starting = started_entry(STARTING_ENDPOINT.0, node.now);
        node.update_endpoints(ListKind::Delta, vec![starting]);
    }
    play_rounds(&mut nodes, START_ROUND..DRAIN_ROUND);
    for node in &mut nodes {
        let draining = (3..WARM_ENDPOINTS).map(draining_entry);
        node.update_endpoints(ListKind::Delta, draining.collect());
    }
    let sent = play_rounds(&mut nodes, DRAIN_ROUND..LAST_ROUND);
    // Each endpoint gets 40 requests a second, which is six tenths of its capacity.
    let capacity = 40.0 / 0.6;
    for round in DRAIN_ROUND + WINDOW_ROUNDS..LAST_ROUND {
        let attempts = sent
            .iter()
            .filter(|at| **at <= round && **at + WINDOW_ROUNDS > round)
            .count();
        let since_start = ROUND * (round - START_ROUND);
        let limit = limit_in_window(&settings.rules, capacity, since_start);
        check_window(attempts, limit)?;
    }
    Ok(())
}

#[test]
fn slow_start_endpoint_is_not_overloaded_by_many_quiet_nodes() {
    for seed in [1, 1000, 2000] {
        play_many_nodes(seed).unwrap_or_else(|broken| panic!("{broken}"));
    }
}
