//! Retries by clients, and the time that a client has already waited.

use ottertiller_balancer::{Action, NewRequest, Outcome, RequestId};
use ottertiller_balancer_simulation::actions::{count_attempts, is_shed};
use ottertiller_balancer_simulation::fixtures::classes::{IDEMPOTENT, KEYED_EVERYWHERE};
use ottertiller_balancer_simulation::fixtures::{ms, response_report_settings};
use ottertiller_balancer_simulation::node::{NodeSimulation, RequestOptions};

/// A node with clients that retry.
struct RetryingClients {
    node: NodeSimulation,
    next_id: u64,
}

impl RetryingClients {
    /// Above all ids that the simulation assigns.
    const FIRST_ID: u64 = 1_000_000;

    fn new(endpoints: u64) -> Self {
        RetryingClients {
            node: NodeSimulation::with_endpoints(response_report_settings(), endpoints),
            next_id: Self::FIRST_ID,
        }
    }

    /// Sends the first try of a client, and returns the actions that follow. `remaining_ms` is the
    /// time that the client still waits.
    fn send_first_try(&mut self, class: usize, remaining_ms: u64) -> Vec<Action> {
        self.send(NewRequest {
            class,
            remaining: ms(remaining_ms),
            ..NewRequest::default()
        })
    }

    /// Sends a retry of a client, and returns the actions that follow.
    fn send_retry(&mut self, class: usize, remaining_ms: u64) -> Vec<Action> {
        self.send(NewRequest {
            class,
            remaining: ms(remaining_ms),
            client_retry: true,
            ..NewRequest::default()
        })
    }

    /// Sends a request, and ends all attempts in flight as served 20 ms later.
    fn send(&mut self, request: NewRequest) -> Vec<Action> {
        self.next_id += 1;
        let actions = self.node.submit(NewRequest {
            id: RequestId(self.next_id),
            ..request
        });
        self.node.advance(ms(20));
        self.node.end_all_attempts(Outcome::Served, Some(0.0));
        actions
    }
}

/// Clients retry requests that have timed out. If a node sent retries past the latency objective,
/// the work on worthless responses would sustain an overload.
#[test]
fn client_retry_past_latency_objective_is_shed_unsent() {
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), 4);
    let retry = |node: &mut NodeSimulation, remaining: u64| {
        node.submit(NewRequest {
            id: RequestId(RetryingClients::FIRST_ID + remaining),
            class: IDEMPOTENT,
            remaining: ms(remaining),
            client_retry: true,
            ..NewRequest::default()
        })
    };
    // The first try of a client waits for 450 of the 1000 ms until its deadline.
    node.request_with(RequestOptions {
        remaining: ms(450),
        ..RequestOptions::default()
    });
    assert!(
        is_shed(&retry(&mut node, 550)),
        "450 ms have passed, the objective is 400 ms"
    );
    assert_eq!(
        count_attempts(&retry(&mut node, 650)),
        1,
        "350 ms have passed, the objective is 400 ms"
    );
    assert_eq!(
        count_attempts(&retry(&mut node, 449)),
        1,
        "it waits as long as a first try, which may have been shed at once"
    );
}

/// If clients wait long before they retry, every retry comes too late. If they also set a timeout
/// shorter than the deadline for each try, a retry has the same time left as a first try, so the
/// time that it has waited is taken from retries of classes without such a timeout. Otherwise each
/// quiet node would serve a few retries whose responses have no value.
#[test]
fn client_retry_age_is_inferred_from_other_retries() {
    let mut clients = RetryingClients::new(6);
    let (short_timeout_class, full_timeout_class) = (IDEMPOTENT, KEYED_EVERYWHERE);
    assert_eq!(
        count_attempts(&clients.send_first_try(short_timeout_class, 450)),
        1,
        "a first try that waits for 450 of the 1000 ms"
    );
    assert_eq!(
        count_attempts(&clients.send_first_try(full_timeout_class, 1000)),
        1,
        "a first try that waits until the deadline"
    );
    assert_eq!(
        count_attempts(&clients.send_retry(full_timeout_class, 590)),
        0,
        "410 ms have passed, the objective is 400 ms"
    );
    assert_eq!(
        count_attempts(&clients.send_retry(short_timeout_class, 450)),
        0,
        "it counts as having waited 410 ms too"
    );
    assert_eq!(
        count_attempts(&clients.send_first_try(short_timeout_class, 450)),
        1,
        "a first try has not waited"
    );
    assert_eq!(
        count_attempts(&clients.send_retry(full_timeout_class, 990)),
        1,
        "10 ms have passed"
    );
    assert_eq!(
        count_attempts(&clients.send_retry(short_timeout_class, 450)),
        1,
        "it now counts as having waited only 10 ms"
    );
}
