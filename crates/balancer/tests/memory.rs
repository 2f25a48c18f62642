//! Nothing grows with requests that have ended or endpoints that have left. Alone in its process,
//! so that the process's memory is the balancer's.

use ottertiller_balancer::{
    Action, AttemptEnd, Balancer, Event, HealthCheckEnd, ListKind, LoadReport, NewRequest, Outcome,
    RequestId,
};
use ottertiller_balancer_simulation::fixtures::{entry, health_check_settings, ms};
use std::time::Duration;

/// Resident memory in KiB, as Linux tells it.
fn resident() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Plays requests to an ever changing list of endpoints; executes attempts and health checks, and
/// drops the rest.
fn play(balancer: &mut Balancer, requests: std::ops::Range<u64>) {
    let mut actions = Vec::new();
    for number in requests {
        let now = ms(1000) + Duration::from_micros(number * 1500);
        if number % 10 == 0 {
            let endpoints = number / 10..number / 10 + 4;
            let list = Event::EndpointList {
                kind: ListKind::Snapshot,
                entries: endpoints.map(entry).collect(),
            };
            balancer.handle(now, list, &mut actions);
        }
        let id = RequestId(number);
        let new = NewRequest {
            id,
            class: 0,
            tenant: 0,
            key: number,
            remaining: ms(900),
            cost_hint: None,
            client_retry: false,
        };
        balancer.handle(now, Event::Request(new), &mut actions);
        while let Some(action) = actions.pop() {
            let report = Some(LoadReport {
                in_flight: Some(0.0),
                ..LoadReport::default()
            });
            let (outcome, elapsed) = (Outcome::Served, ms(1));
            let event = match action {
                Action::StartAttempt { id, endpoint, .. } => {
                    let end = AttemptEnd {
                        id,
                        attempt: 0,
                        endpoint,
                        outcome,
                        elapsed,
                        request_finished: true,
                        report,
                    };
                    Event::AttemptEnded(end)
                }
                Action::HealthCheck { endpoint } => Event::HealthCheckEnded(HealthCheckEnd {
                    endpoint,
                    outcome,
                    elapsed,
                    report,
                }),
                _ => continue,
            };
            balancer.handle(now, event, &mut actions);
        }
    }
}

#[test]
fn memory_does_not_grow_with_past_requests_and_endpoints() {
    let mut balancer = Balancer::new(health_check_settings(), 1);
    play(&mut balancer, 1..20_000);
    let Some(before) = resident() else {
        return eprintln!("no /proc here: not checked");
    };
    play(&mut balancer, 20_000..150_000);
    let grown = resident().unwrap_or(before).saturating_sub(before);
    // One remembered request or endpoint of a hundred bytes each would be 13 MB.
    assert!(grown < 2048, "{grown} KiB more after 130,000 requests");
}
