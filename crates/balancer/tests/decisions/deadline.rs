//! Requests that are not served in time, and requests that wait for an endpoint.

use ottertiller_balancer::{Action, EndpointId, ListKind};
use ottertiller_balancer_simulation::fixtures::classes::NOT_IDEMPOTENT;
use ottertiller_balancer_simulation::fixtures::{entry, ms, response_report_settings};
use ottertiller_balancer_simulation::node::{AttemptId, NodeSimulation};

#[test]
fn unserved_request_fails_at_latency_objective() {
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), 2);
    let (id, _) = node.request(NOT_IDEMPOTENT);
    node.advance(ms(401));
    assert!(node.is_finished(id));
    assert!(node.actions.contains(&Action::Fail { id }));
}

#[test]
fn request_without_endpoint_is_shed_at_latency_objective() {
    let mut node = NodeSimulation::new(response_report_settings());
    let (id, _) = node.request(NOT_IDEMPOTENT);
    node.advance(ms(401));
    assert!(
        node.actions
            .iter()
            .any(|a| matches!(a, Action::Shed { id: it, .. } if *it == id))
    );
}

#[test]
fn queued_request_is_sent_when_endpoint_is_listed() {
    let mut node = NodeSimulation::new(response_report_settings());
    let (id, _) = node.request(NOT_IDEMPOTENT);
    node.advance(ms(50));
    node.update_endpoints(ListKind::Delta, vec![entry(1)]);
    node.advance(ms(50));
    assert_eq!(node.endpoint_of(AttemptId::first(id)), EndpointId(1));
}
