//! The invariants of a node, which the simulation checks, hold in random legal histories, and the
//! same history gives the same actions.

use crate::config;
use ottertiller_balancer::{
    Action, EndpointEntry, EndpointState, Limits, ListKind, Outcome, Settings,
};
use ottertiller_balancer_simulation::fixtures::classes;
use ottertiller_balancer_simulation::fixtures::{
    entry, health_check_settings, ms, response_report_settings, settings,
};
use ottertiller_balancer_simulation::node::{NodeSimulation, RequestOptions};
use proptest::prelude::{Just, Strategy, any, prop, prop_assert_eq, prop_oneof, proptest};
use std::time::Duration;

const CASES: u32 = 256;
/// The longest time that a client waits, in milliseconds.
const LONGEST_BUDGET_MS: u64 = 1500;
/// The endpoints that the cached list holds.
const CACHED_ENDPOINTS: u64 = 4;
/// The outcomes of attempts.
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

/// One step of a history. Times are in milliseconds.
#[derive(Clone, Debug)]
enum Step {
    Request {
        class: usize,
        remaining: u64,
        cost: Option<u64>,
    },
    AttemptEnd {
        /// Chooses one of the attempts in flight.
        choice: usize,
        /// An index into [`OUTCOMES`].
        outcome: usize,
        /// The requests in flight that the endpoint reports.
        in_flight: Option<u8>,
    },
    HealthCheckEnd {
        in_flight: Option<u8>,
    },
    ClientDisconnect {
        /// Chooses one of the unfinished requests.
        choice: usize,
    },
    EndpointList {
        is_snapshot: bool,
        entries: Vec<ListedState>,
    },
    ListFailed,
    Advance {
        time: u64,
    },
}

/// A random entry of an endpoint list.
#[derive(Clone, Debug)]
struct ListedState {
    endpoint: u64,
    state: EndpointState,
    /// Whether it has started just now.
    is_restarted: bool,
}

impl ListedState {
    /// Returns the entry as it is listed at this time.
    fn entry(&self, now: Duration) -> EndpointEntry {
        EndpointEntry {
            state: self.state,
            started: self.is_restarted.then_some(now),
            ..entry(self.endpoint)
        }
    }
}

/// Generates entries of endpoint lists, of which most are ready.
fn listed_state() -> impl Strategy<Value = ListedState> {
    (0u64..6, 0u8..8, any::<bool>()).prop_map(|(endpoint, state, is_restarted)| ListedState {
        endpoint,
        state: match state {
            0 => EndpointState::Removed,
            1 => EndpointState::Draining,
            _ => EndpointState::Ready,
        },
        is_restarted,
    })
}

/// Generates steps, with more requests and responses than changes of the endpoint list.
fn step() -> impl Strategy<Value = Step> {
    let in_flight = || prop::option::of(0u8..4);
    let request = (
        0..classes::COUNT,
        1..LONGEST_BUDGET_MS,
        prop::option::of(1u64..600),
    )
        .prop_map(|(class, remaining, cost)| Step::Request {
            class,
            remaining,
            cost,
        });
    let attempt_end = (any::<usize>(), 0..OUTCOMES.len(), in_flight()).prop_map(
        |(choice, outcome, in_flight)| Step::AttemptEnd {
            choice,
            outcome,
            in_flight,
        },
    );
    let endpoint_list = (any::<bool>(), prop::collection::vec(listed_state(), 0..5)).prop_map(
        |(is_snapshot, entries)| Step::EndpointList {
            is_snapshot,
            entries,
        },
    );
    prop_oneof![
        6 => request,
        6 => attempt_end,
        3 => in_flight().prop_map(|in_flight| Step::HealthCheckEnd { in_flight }),
        1 => any::<usize>().prop_map(|choice| Step::ClientDisconnect { choice }),
        1 => endpoint_list,
        1 => Just(Step::ListFailed),
        4 => (1u64..400).prop_map(|time| Step::Advance { time }),
    ]
}

/// Generates histories of up to 119 steps.
fn history() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec(step(), 1..120)
}

/// Returns one of some items; `None` if there are none.
fn choose<T: Copy>(items: &[T], choice: usize) -> Option<T> {
    items.get(choice.checked_rem(items.len())?).copied()
}

/// Plays a step of a history.
fn play_step(node: &mut NodeSimulation, step: &Step) {
    match step {
        Step::Request {
            class,
            remaining,
            cost,
        } => {
            node.request_with(RequestOptions {
                class: *class,
                remaining: ms(*remaining),
                cost_hint: cost.map(ms),
                ..RequestOptions::default()
            });
        }
        Step::AttemptEnd {
            choice,
            outcome,
            in_flight,
        } => {
            if let Some(attempt) = choose(&node.attempts_in_flight(), *choice) {
                node.end_attempt(attempt, OUTCOMES[*outcome], in_flight.map(f32::from));
            }
        }
        Step::HealthCheckEnd { in_flight } => {
            node.end_health_check(in_flight.map(f32::from));
        }
        Step::ClientDisconnect { choice } => {
            if let Some(id) = choose(&node.unfinished_requests(), *choice) {
                node.disconnect_client(id);
            }
        }
        Step::EndpointList {
            is_snapshot,
            entries,
        } => update_endpoints(node, *is_snapshot, entries),
        Step::ListFailed => {
            node.fail_endpoint_list();
        }
        Step::Advance { time } => node.advance(ms(*time)),
    }
}

/// Delivers an endpoint list. A snapshot has no entries of removed endpoints.
fn update_endpoints(node: &mut NodeSimulation, is_snapshot: bool, entries: &[ListedState]) {
    let kind = if is_snapshot {
        ListKind::Snapshot
    } else {
        ListKind::Delta
    };
    let now = node.now;
    let entries = entries
        .iter()
        .filter(|listed| !is_snapshot || listed.state != EndpointState::Removed)
        .map(|listed| listed.entry(now))
        .collect();
    node.update_endpoints(kind, entries);
}

/// Plays a history, and checks at its end that no request is left unfinished. Returns all actions.
fn play(settings: Settings, seed: u64, steps: &[Step]) -> Vec<Action> {
    let mut node = NodeSimulation::with_seed(settings, seed);
    node.update_endpoints(ListKind::Cached, (0..CACHED_ENDPOINTS).map(entry).collect());
    for step in steps {
        play_step(&mut node, step);
    }
    node.advance(ms(LONGEST_BUDGET_MS + 100));
    assert!(
        node.unfinished_requests().is_empty(),
        "invariant 1: {:?} left without a final response",
        node.unfinished_requests()
    );
    assert!(node.attempts_in_flight().is_empty());
    node.actions
}

proptest! {
    #![proptest_config(config(CASES))]

    #[test]
    fn invariants_hold_with_health_check_reports(seed: u64, steps in history()) {
        let mut settings = health_check_settings();
        settings.rules.initial_capacity = 0.2;
        settings.rules.slow_start_window = ms(5000);
        settings.rules.drain_grace = ms(0);
        prop_assert_eq!(play(settings.clone(), seed, &steps), play(settings, seed, &steps));
    }

    #[test]
    fn invariants_hold_with_response_reports(seed: u64, steps in history()) {
        let mut settings = response_report_settings();
        settings.limits.allow_parallel_attempts = false;
        settings.rules.drain_grace = ms(0);
        settings.poll_endpoints = true;
        play(settings, seed, &steps);
    }

    #[test]
    fn invariants_hold_with_minimal_limits(seed: u64, steps in history()) {
        let mut settings = settings();
        settings.limits = Limits { max_attempts: 1, allow_cancellation: false, ..Settings::default().limits };
        settings.node_count = 1;
        settings.rules.drain_grace = ms(0);
        play(settings, seed, &steps);
    }
}
