//! Retries by clients.

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
    /// Ids above all that the simulation gives.
    const FIRST_ID: u64 = 1_000_000;

    fn new(endpoints: u64) -> Self {
        RetryingClients {
            node: NodeSimulation::with_endpoints(response_report_settings(), endpoints),
            next_id: Self::FIRST_ID,
        }
    }

    /// Sends the first attempt of a client, and returns the actions that follow. `remaining_ms` is
    /// the time that the client still waits.
    fn send_first(&mut self, class: usize, remaining_ms: u64) -> Vec<Action> {
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

/// Clients that have timed out send their requests again. Work for responses without value would
/// sustain an overload.
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
    // A first attempt of a client waits for 450 of the 1000 ms.
    node.request_with(RequestOptions {
        remaining: ms(450),
        ..RequestOptions::default()
    });
    assert!(
        is_shed(&retry(&mut node, 550)),
        "450 ms have gone by, the objective is 400"
    );
    assert_eq!(
        count_attempts(&retry(&mut node, 650)),
        1,
        "350 ms have gone by"
    );
    assert_eq!(
        count_attempts(&retry(&mut node, 449)),
        1,
        "like a first attempt: it may have been shed at once"
    );
}

/// Where clients wait before they retry, every retry comes too late. A retry with a shortened
/// budget looks like a first attempt, so its age is taken from retries that show theirs. Otherwise
/// each quiet node would serve a few of them without value.
#[test]
fn client_retry_age_is_inferred_from_other_retries() {
    let mut clients = RetryingClients::new(6);
    let (short_class, whole_class) = (IDEMPOTENT, KEYED_EVERYWHERE);
    assert_eq!(
        count_attempts(&clients.send_first(short_class, 450)),
        1,
        "its clients wait for 450 of the 1000 ms"
    );
    assert_eq!(
        count_attempts(&clients.send_first(whole_class, 1000)),
        1,
        "theirs wait to the end"
    );
    assert_eq!(
        count_attempts(&clients.send_retry(whole_class, 590)),
        0,
        "410 ms have gone by, the objective is 400"
    );
    assert_eq!(
        count_attempts(&clients.send_retry(short_class, 450)),
        0,
        "it has waited as long as that at least"
    );
    assert_eq!(
        count_attempts(&clients.send_first(short_class, 450)),
        1,
        "a first attempt has not"
    );
    assert_eq!(
        count_attempts(&clients.send_retry(whole_class, 990)),
        1,
        "10 ms have gone by"
    );
    assert_eq!(
        count_attempts(&clients.send_retry(short_class, 450)),
        1,
        "nor need it have waited for longer"
    );
}
