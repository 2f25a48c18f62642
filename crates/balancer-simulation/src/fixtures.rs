//! Settings and endpoints that the tests have in common.

use ottertiller_balancer::{
    EndpointEntry, EndpointId, EndpointState, Idempotency, LoadReport, LoadReportSource,
    RequestClass, Scope, Settings,
};
use std::time::Duration;

/// A time in milliseconds.
pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A ready endpoint that started long ago. Endpoints are in zone and cell `number % 3`.
pub fn entry(number: u64) -> EndpointEntry {
    EndpointEntry {
        id: EndpointId(number),
        zone: (number % 3) as u8,
        cell: (number % 3) as u16,
        state: EndpointState::Ready,
        weight: 1.0,
        ..EndpointEntry::default()
    }
}

/// A class with a latency objective of 400 ms and a deadline of 1 s.
pub fn class(idempotency: Idempotency) -> RequestClass {
    RequestClass {
        latency_objective: ms(400),
        objective_stretch: 0.0,
        deadline: ms(1000),
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency,
        streamed: false,
    }
}

/// Three nodes without load reports. Class 0 is idempotent, 1 is not, 2 is keyed within a zone, 3
/// within a cell, and 4 everywhere.
pub fn settings() -> Settings {
    let keyed = |scope| Idempotency::Keyed {
        scope,
        window: ms(300),
    };
    let classes = [
        Idempotency::Idempotent,
        Idempotency::NotIdempotent,
        keyed(Scope::Zone),
        keyed(Scope::Cell),
        keyed(Scope::All),
    ];
    let mut settings = Settings {
        node_count: 3,
        classes: classes.map(class).to_vec(),
        ..Settings::default()
    };
    settings.limits.cancel = true;
    settings.limits.parallel_attempts = true;
    settings
}

/// Settings in which load reports come with health checks only.
pub fn health_check_settings() -> Settings {
    let mut settings = settings();
    settings.load_reports = LoadReportSource::HealthChecks;
    settings.limits.health_checks = true;
    settings.cost_weights.health_check = 0.002;
    settings
}

/// Settings in which load reports come with responses.
pub fn response_report_settings() -> Settings {
    Settings {
        load_reports: LoadReportSource::Responses,
        ..settings()
    }
}

/// A load report that says only how many requests an endpoint has in flight.
pub fn in_flight_report(in_flight: f32) -> LoadReport {
    LoadReport {
        in_flight: Some(in_flight),
        ..LoadReport::default()
    }
}
