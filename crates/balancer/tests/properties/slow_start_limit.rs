//! The limit of requests to an endpoint in slow start. The tests count the requests themselves. The
//! limit in an overload window is overload factor x current capacity x window.

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

/// Returns the fraction of its full capacity that an endpoint has at `since_start`.
fn capacity_fraction(rules: &Rules, since_start: Duration) -> f64 {
    let progress = since_start.as_secs_f64() / rules.slow_start_window.as_secs_f64();
    rules.initial_capacity + (1.0 - rules.initial_capacity) * progress
}

/// Returns the maximum number of requests to an endpoint in an overload window at `since_start`.
/// `capacity` is its full capacity in requests per second.
fn limit_in_window(rules: &Rules, capacity: f64, since_start: Duration) -> f64 {
    let window = rules.overload_window.as_secs_f64();
    rules.overload_factor * capacity_fraction(rules, since_start) * capacity * window
}

/// Checks that the number of attempts within a window does not exceed the limit.
fn check_window(attempts: usize, limit: f64) -> Result<(), TestCaseError> {
    prop_assert!(
        attempts as f64 <= limit,
        "slow start: {} attempts within an overload window, at most {} allowed",
        attempts,
        limit
    );
    Ok(())
}

/// A number of requests that arrive at once, and the milliseconds until the next arrivals.
type Arrivals = (usize, u64);

/// Generates sequences of arrivals, each of up to 11 requests at once.
fn arrivals() -> impl Strategy<Value = Vec<Arrivals>> {
    prop::collection::vec((0usize..12, 1u64..60), 120..240)
}

/// A single node, which may use the entire limit of an endpoint in slow start, and endpoints that
/// serve one request at a time.
struct SequentialEndpoints {
    node: NodeSimulation,
    /// The time from which each endpoint may end its next attempt.
    free_at: BTreeMap<EndpointId, Duration>,
    /// The times of the attempts at the endpoint in slow start.
    attempts_at_starting: Vec<Duration>,
    /// The number of the node's actions that have been examined for such attempts.
    actions_seen: usize,
}

impl SequentialEndpoints {
    /// The endpoint in slow start. The endpoints 0, 1 and 2 are warm.
    const STARTING: EndpointId = EndpointId(9);
    /// The time in which an endpoint serves a request.
    const SERVICE_TIME: Duration = Duration::from_millis(20);
    /// The resulting capacity in requests per second.
    const CAPACITY: f64 = 50.0;

    fn new(settings: Settings, seed: u64) -> Self {
        SequentialEndpoints {
            node: NodeSimulation::with_seed_and_endpoints(settings, seed, 3),
            free_at: BTreeMap::new(),
            attempts_at_starting: Vec::new(),
            actions_seen: 0,
        }
    }

    /// Simulates arrivals, and records the attempts at the endpoint in slow start.
    fn simulate(&mut self, (requests, pause): Arrivals) {
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

    /// Ends an attempt at each endpoint that is free.
    fn serve(&mut self) {
        let now = self.node.now;
        for attempt in self.node.attempts_in_flight() {
            let endpoint = self.node.endpoint_of(attempt);
            let free_at = self.free_at.entry(endpoint).or_insert(now);
            if *free_at <= now && !self.node.is_finished(attempt.request) {
                *free_at = now + Self::SERVICE_TIME;
                self.node.end_attempt(attempt, Outcome::Served, Some(0.0));
            }
        }
    }

    /// Returns the number of attempts at the endpoint in slow start within the last `window`.
    fn attempts_within(&self, window: Duration) -> usize {
        self.attempts_at_starting
            .iter()
            .filter(|at| **at + window >= self.node.now)
            .count()
    }
}

/// Simulates arrivals at one node. An endpoint starts after the first third of them. Checks its
/// limit after each further arrival.
fn check_one_node(seed: u64, arrivals: &[Arrivals]) -> Result<(), TestCaseError> {
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
        simulation.simulate(*arrivals);
    }
    let started = simulation.node.now;
    let starting = started_entry(SequentialEndpoints::STARTING.0, started);
    simulation
        .node
        .update_endpoints(ListKind::Delta, vec![starting]);
    for arrivals in after_start {
        simulation.simulate(*arrivals);
        let since_start = simulation.node.now - started;
        let attempts = simulation.attempts_within(rules.overload_window);
        // One more request is always allowed.
        let limit = limit_in_window(&rules, SequentialEndpoints::CAPACITY, since_start) + 1.0;
        check_window(attempts, limit)?;
    }
    Ok(())
}

proptest! {
    #![proptest_config(config(10))]

    #[test]
    fn slow_start_endpoint_is_not_overloaded_by_one_node(seed: u64, arrivals in arrivals()) {
        check_one_node(seed, &arrivals)?;
    }
}

const STARTING_ENDPOINT: EndpointId = EndpointId(10);
const QUIET_NODES: u32 = 200;
/// The number of warm endpoints.
const WARM_ENDPOINTS: u64 = 10;
/// The duration of a round.
const ROUND: Duration = Duration::from_millis(50);
/// Each node receives one request in this many rounds, which is 400 requests per second in total.
const ROUNDS_BETWEEN_REQUESTS: u32 = 10;
/// The round in which an endpoint starts.
const START_ROUND: u32 = 200;
/// The round in which all but three of the warm endpoints drain.
const DRAIN_ROUND: u32 = 280;
const LAST_ROUND: u32 = 340;
/// The number of rounds in an overload window.
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

/// Starts the nodes with a list of the warm endpoints.
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

/// Simulates rounds, and returns the round of each attempt at the endpoint in slow start.
fn simulate_rounds(nodes: &mut [NodeSimulation], rounds: Range<u32>) -> Vec<u32> {
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

/// Simulates 200 nodes with a low request rate, and an endpoint in slow start. All nodes
/// send to that endpoint at once when most other endpoints drain. Checks the number of attempts of
/// all nodes together in each window.
fn check_many_nodes(seed: u64) -> Result<(), TestCaseError> {
    let settings = quiet_node_settings();
    let mut nodes = start_quiet_nodes(&settings, seed);
    simulate_rounds(&mut nodes, 0..START_ROUND);
    for node in &mut nodes {
        let starting = started_entry(STARTING_ENDPOINT.0, node.now);
        node.update_endpoints(ListKind::Delta, vec![starting]);
    }
    simulate_rounds(&mut nodes, START_ROUND..DRAIN_ROUND);
    for node in &mut nodes {
        let draining = (3..WARM_ENDPOINTS).map(draining_entry);
        node.update_endpoints(ListKind::Delta, draining.collect());
    }
    let sent = simulate_rounds(&mut nodes, DRAIN_ROUND..LAST_ROUND);
    // Each of the 10 endpoints gets 40 requests per second, which is 60 % of its capacity.
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
        check_many_nodes(seed).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    }
}
