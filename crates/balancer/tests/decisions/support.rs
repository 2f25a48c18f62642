//! Helpers that send requests one after another and count the attempts at each endpoint.

use ottertiller_balancer::Outcome;
use ottertiller_balancer_simulation::actions::endpoints_attempted;
use ottertiller_balancer_simulation::fixtures::classes::{IDEMPOTENT, NOT_IDEMPOTENT};
use ottertiller_balancer_simulation::node::{AttemptId, NodeSimulation};
use std::collections::BTreeMap;
use std::time::Duration;

/// The time in which [`serve_one`] serves a request.
const SERVE_TIME: Duration = Duration::from_millis(20);
/// The time in which the attempts of each request of [`play_requests`] end.
pub(crate) const PLAY_TIME: Duration = Duration::from_millis(30);

/// The number of attempts at each endpoint.
#[derive(Debug, Default)]
pub(crate) struct AttemptCounts(BTreeMap<u64, usize>);

impl AttemptCounts {
    /// Counts an attempt at an endpoint.
    pub(crate) fn add(&mut self, endpoint: u64) {
        *self.0.entry(endpoint).or_insert(0) += 1;
    }

    /// Returns the number of attempts at an endpoint.
    pub(crate) fn at(&self, endpoint: u64) -> usize {
        self.0.get(&endpoint).copied().unwrap_or_default()
    }

    /// Returns the number of attempts at some endpoints.
    pub(crate) fn at_any(&self, endpoints: impl IntoIterator<Item = u64>) -> usize {
        endpoints
            .into_iter()
            .map(|endpoint| self.at(endpoint))
            .sum()
    }

    /// Returns the number of attempts at all endpoints.
    pub(crate) fn total(&self) -> usize {
        self.0.values().sum()
    }

    /// Returns whether this number of endpoints have had attempts, and each of them a number of
    /// attempts within this range.
    pub(crate) fn are_all_within(
        &self,
        endpoints: usize,
        range: std::ops::RangeInclusive<usize>,
    ) -> bool {
        self.0.len() == endpoints && self.0.values().all(|count| range.contains(count))
    }
}

/// Sends a request of a class, and returns the endpoints at which attempts start at once.
pub(crate) fn send_request(node: &mut NodeSimulation, class: usize) -> Vec<u64> {
    let (_, actions) = node.request(class);
    endpoints_attempted(&actions)
}

/// Sends a request that is served after [`SERVE_TIME`], and returns its endpoint, which reports
/// `in_flight` requests with its response.
pub(crate) fn serve_one(node: &mut NodeSimulation, in_flight: f32) -> u64 {
    let (id, actions) = node.request(IDEMPOTENT);
    let attempted = endpoints_attempted(&actions);
    assert_eq!(
        attempted.len(),
        1,
        "the request must be sent to exactly one endpoint at once: {actions:?}"
    );
    node.advance(SERVE_TIME);
    node.end_attempt(AttemptId::first(id), Outcome::Served, Some(in_flight));
    attempted[0]
}

/// Sends `count` requests, one every [`PLAY_TIME`]. All attempts in flight end after that time, at
/// each endpoint with the outcome that `outcome` returns for it. Returns the number of attempts at
/// each endpoint.
pub(crate) fn play_requests(
    node: &mut NodeSimulation,
    count: usize,
    outcome: impl Fn(u64) -> Outcome,
) -> AttemptCounts {
    let mut attempts = AttemptCounts::default();
    for _ in 0..count {
        node.request(NOT_IDEMPOTENT);
        node.advance(PLAY_TIME);
        for attempt in node.attempts_in_flight() {
            let endpoint = node.endpoint_of(attempt).0;
            attempts.add(endpoint);
            node.end_attempt(attempt, outcome(endpoint), Some(0.0));
        }
    }
    attempts
}

/// Returns an outcome function for [`play_requests`]: attempts at these endpoints end with
/// `outcome`, and all others are served.
pub(crate) fn outcome_at(
    endpoints: std::ops::Range<u64>,
    outcome: Outcome,
) -> impl Fn(u64) -> Outcome + Clone {
    move |endpoint| {
        if endpoints.contains(&endpoint) {
            outcome
        } else {
            Outcome::Served
        }
    }
}
