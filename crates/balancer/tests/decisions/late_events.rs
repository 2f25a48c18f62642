//! Events that arrive after their request, attempt or health check has ended.

use ottertiller_balancer::{
    AttemptEnd, EndpointId, Event, HealthCheckEnd, ListKind, Outcome, Timer,
};
use ottertiller_balancer_simulation::actions::{count_attempts, count_health_checks};
use ottertiller_balancer_simulation::fixtures::classes::{IDEMPOTENT, NOT_IDEMPOTENT};
use ottertiller_balancer_simulation::fixtures::{
    entry, health_check_settings, ms, response_report_settings,
};
use ottertiller_balancer_simulation::node::{AttemptId, NodeSimulation};

#[test]
fn late_events_have_no_effect() {
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), 2);
    let (id, _) = node.request(NOT_IDEMPOTENT);
    node.disconnect_client(id);
    assert!(node.deliver(Event::ClientDisconnected { id }).is_empty());
    node.advance(ms(1));
    assert!(node.attempts_in_flight().is_empty());
    assert!(node.deliver(Event::Timer(Timer::Request(id))).is_empty());
    let endpoint = EndpointId(77);
    let end = HealthCheckEnd {
        endpoint,
        outcome: Outcome::Served,
        elapsed: ms(1),
        report: None,
    };
    assert!(node.deliver(Event::HealthCheckEnded(end)).is_empty());
    let ended = AttemptEnd {
        id,
        attempt: 0,
        endpoint,
        outcome: Outcome::Served,
        elapsed: ms(1),
        request_finished: true,
        report: None,
    };
    assert!(node.deliver(Event::AttemptEnded(ended)).is_empty());
    assert!(
        node.deliver(Event::StreamStarted {
            id,
            attempt: 0,
            endpoint
        })
        .is_empty()
    );
}

/// Covers a request that is queued without an endpoint, one queued for health checks, and one with
/// an attempt in flight.
#[test]
fn no_attempt_starts_after_client_disconnect() {
    // Queued without an endpoint; endpoints are listed after the client has disconnected.
    let mut node = NodeSimulation::new(response_report_settings());
    node.update_endpoints(ListKind::Snapshot, vec![]);
    let (queued, _) = node.request(IDEMPOTENT);
    node.disconnect_client(queued);
    let before = node.actions.len();
    node.update_endpoints(ListKind::Snapshot, (0..4).map(entry).collect());
    node.advance(ms(2000));
    assert_eq!(
        count_attempts(&node.actions[before..]),
        0,
        "queued without an endpoint"
    );

    // Queued for health checks; they find an idle endpoint after the client has disconnected.
    let mut node = NodeSimulation::with_endpoints(health_check_settings(), 4);
    let (checked, actions) = node.request(IDEMPOTENT);
    assert!(count_health_checks(&actions) > 0 && count_attempts(&actions) == 0);
    node.disconnect_client(checked);
    let before = node.actions.len();
    node.end_health_checks(&[0, 1, 2, 3]);
    node.advance(ms(2000));
    assert_eq!(
        count_attempts(&node.actions[before..]),
        0,
        "queued for health checks"
    );

    // With an attempt in flight that gets no response, or ends so that a retry would be allowed.
    for outcome in [
        None,
        Some(Outcome::NotSent),
        Some(Outcome::ConnectFailed),
        Some(Outcome::Error),
    ] {
        for cancel in [true, false] {
            let mut settings = response_report_settings();
            settings.limits.allow_cancellation = cancel;
            let mut node = NodeSimulation::with_endpoints(settings, 4);
            let (waiting, actions) = node.request(IDEMPOTENT);
            assert_eq!(count_attempts(&actions), 1);
            node.disconnect_client(waiting);
            let before = node.actions.len();
            if let Some(outcome) = outcome {
                node.end_attempt(AttemptId::first(waiting), outcome, None);
            }
            node.advance(ms(2000));
            assert_eq!(count_attempts(&node.actions[before..]), 0, "{outcome:?}");
        }
    }
}
