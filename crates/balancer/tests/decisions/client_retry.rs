//! Retries by clients.

use crate::support::{endpoints_attempted, is_shed};
use ottertiller_balancer::{NewRequest, Outcome, RequestId};
use ottertiller_balancer_simulation::fixtures::{ms, response_report_settings};
use ottertiller_balancer_simulation::node::NodeSimulation;

/// Clients that have timed out send their requests again. Work for responses without value would
/// sustain an overload.
#[test]
fn client_retry_past_latency_objective_is_shed_unsent() {
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), 4);
    let retry = |node: &mut NodeSimulation, left: u64| {
        let mut new = NewRequest {
            id: RequestId(1_000_000 + left),
            class: 0,
            remaining: ms(left),
            ..Default::default()
        };
        new.client_retry = true;
        node.submit(new)
    };
    node.request_with(0, 0, ms(450), None); // a first attempt waits for 450 of the 1000 ms
    assert!(
        is_shed(&retry(&mut node, 550)),
        "450 ms have gone by, the objective is 400"
    );
    assert_eq!(
        endpoints_attempted(&retry(&mut node, 650)).len(),
        1,
        "350 ms have gone by"
    );
    assert_eq!(
        endpoints_attempted(&retry(&mut node, 449)).len(),
        1,
        "like a first attempt: it may have been shed at once"
    );
}

/// Where clients wait before they retry, every retry comes too late. A retry with a shortened
/// budget looks like a first attempt, so its age is taken from retries that show theirs. Otherwise
/// each quiet node would serve a few of them without value.
#[test]
fn client_retry_age_is_inferred_from_other_retries() {
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), 6);
    let (short_class, whole_class) = (0, 4);
    let mut next = 1_000_000;
    let mut serve = |node: &mut NodeSimulation, class: usize, left: u64, client_retry: bool| {
        next += 1;
        let new = NewRequest {
            id: RequestId(next),
            class,
            remaining: ms(left),
            ..Default::default()
        };
        let actions = node.submit(NewRequest {
            client_retry,
            ..new
        });
        node.advance(ms(20));
        node.in_flight()
            .into_iter()
            .for_each(|(id, i)| drop(node.end_attempt(id, i, Outcome::Served, Some(0.0))));
        endpoints_attempted(&actions).len()
    };
    assert_eq!(
        serve(&mut node, short_class, 450, false),
        1,
        "its clients wait for 450 of the 1000 ms"
    );
    assert_eq!(
        serve(&mut node, whole_class, 1000, false),
        1,
        "theirs wait to the end"
    );
    assert_eq!(
        serve(&mut node, whole_class, 590, true),
        0,
        "410 ms have gone by, the objective is 400"
    );
    assert_eq!(
        serve(&mut node, short_class, 450, true),
        0,
        "it has waited as long as that at least"
    );
    assert_eq!(
        serve(&mut node, short_class, 450, false),
        1,
        "a first attempt has not"
    );
    assert_eq!(
        serve(&mut node, whole_class, 990, true),
        1,
        "10 ms have gone by"
    );
    assert_eq!(
        serve(&mut node, short_class, 450, true),
        1,
        "nor need it have waited for longer"
    );
}
