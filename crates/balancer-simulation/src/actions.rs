//! Queries on lists of actions.

use ottertiller_balancer::{Action, EndpointId, RequestId};

/// Returns the number of the endpoint of each attempt that starts, in order.
pub fn endpoints_attempted(actions: &[Action]) -> Vec<u64> {
    let attempted = |action: &Action| match action {
        Action::StartAttempt { endpoint, .. } => Some(endpoint.0),
        _ => None,
    };
    actions.iter().filter_map(attempted).collect()
}

/// Counts the attempts that start.
pub fn count_attempts(actions: &[Action]) -> usize {
    endpoints_attempted(actions).len()
}

/// Counts the attempts that start at an endpoint.
pub fn count_attempts_at(actions: &[Action], endpoint: EndpointId) -> usize {
    endpoints_attempted(actions)
        .iter()
        .filter(|attempted| **attempted == endpoint.0)
        .count()
}

/// Counts the attempts of a request that start.
pub fn count_attempts_of(actions: &[Action], request: RequestId) -> usize {
    actions
        .iter()
        .filter(|action| matches!(action, Action::StartAttempt { id, .. } if *id == request))
        .count()
}

/// Counts the health checks that start.
pub fn count_health_checks(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|action| matches!(action, Action::HealthCheck { .. }))
        .count()
}

/// Counts the calls to discovery for the endpoint list.
pub fn count_polls(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|action| matches!(action, Action::Subscribe { enabled: true }))
        .count()
}

/// Returns whether any request is shed.
pub fn is_shed(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Shed { .. }))
}

/// Returns whether any request fails.
pub fn is_failed(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Fail { .. }))
}
