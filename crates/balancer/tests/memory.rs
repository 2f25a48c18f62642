//! The memory of the balancer must not grow with past requests and endpoints. This program contains
//! no other test, so that the resident memory of the process is that of the balancer.

use ottertiller_balancer::{
    Action, AttemptEnd, Balancer, Event, HealthCheckEnd, ListKind, NewRequest, Outcome, RequestId,
};
use ottertiller_balancer_simulation::fixtures::{
    entry, health_check_settings, in_flight_report, ms,
};
use std::ops::Range;
use std::time::Duration;

const START: Duration = Duration::from_secs(1);
/// The time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_micros(1500);
/// The growth that is not a leak. 100 bytes retained for each request would amount to 13 MB.
const MAX_GROWTH_KIB: u64 = 2048;

/// Returns the resident memory of this process in KiB; `None` on systems without `/proc`.
fn resident_memory_kib() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Sends requests to the balancer, and changes the endpoint list with every tenth of them. Executes
/// only attempts and health checks.
fn simulate(balancer: &mut Balancer, requests: Range<u64>) {
    let mut actions = Vec::new();
    for number in requests {
        let now = START + REQUEST_INTERVAL * number as u32;
        if number % 10 == 0 {
            let endpoints = number / 10..number / 10 + 4;
            let list = Event::EndpointList {
                kind: ListKind::Snapshot,
                entries: endpoints.map(entry).collect(),
            };
            balancer.handle(now, list, &mut actions);
        }
        let request = NewRequest {
            id: RequestId(number),
            key: number,
            remaining: ms(900),
            ..NewRequest::default()
        };
        balancer.handle(now, Event::Request(request), &mut actions);
        while let Some(action) = actions.pop() {
            if let Some(event) = execute(action) {
                balancer.handle(now, event, &mut actions);
            }
        }
    }
}

/// Returns the event that ends an attempt or a health check; `None` for other actions.
fn execute(action: Action) -> Option<Event> {
    let report = Some(in_flight_report(0.0));
    let (outcome, elapsed) = (Outcome::Served, ms(1));
    match action {
        Action::StartAttempt { id, endpoint, .. } => Some(Event::AttemptEnded(AttemptEnd {
            id,
            attempt: 0,
            endpoint,
            outcome,
            elapsed,
            request_finished: true,
            report,
        })),
        Action::HealthCheck { endpoint } => Some(Event::HealthCheckEnded(HealthCheckEnd {
            endpoint,
            outcome,
            elapsed,
            report,
        })),
        _ => None,
    }
}

#[test]
fn memory_does_not_grow_with_past_requests_and_endpoints() {
    let mut balancer = Balancer::new(health_check_settings(), 1);
    simulate(&mut balancer, 1..20_000);
    let Some(before) = resident_memory_kib() else {
        return eprintln!("memory growth is not checked: this system has no /proc");
    };
    simulate(&mut balancer, 20_000..150_000);
    let growth = resident_memory_kib()
        .unwrap_or(before)
        .saturating_sub(before);
    assert!(
        growth < MAX_GROWTH_KIB,
        "memory grew by {growth} KiB over 130,000 requests"
    );
}
