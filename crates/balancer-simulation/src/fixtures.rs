//! Settings, endpoints and load reports that tests have in common.

use ottertiller_balancer::{
    EndpointEntry, EndpointId, EndpointState, Idempotency, IdempotencyScope, LoadReport,
    LoadReportSource, RequestClass, Settings,
};
use std::time::Duration;

/// The latency objective of all classes.
pub const LATENCY_OBJECTIVE: Duration = Duration::from_millis(400);
/// The deadline of all classes.
pub const DEADLINE: Duration = Duration::from_millis(1000);
/// The window of keyed classes.
pub const DEDUPLICATION_WINDOW: Duration = Duration::from_millis(300);

/// The classes of [`settings`].
pub mod classes {
    /// Requests that may run more than once.
    pub const IDEMPOTENT: usize = 0;
    /// Requests that must never run twice.
    pub const NOT_IDEMPOTENT: usize = 1;
    /// Requests with an idempotency key that holds within a zone.
    pub const KEYED_IN_ZONE: usize = 2;
    /// Requests with an idempotency key that holds within a cell.
    pub const KEYED_IN_CELL: usize = 3;
    /// Requests with an idempotency key that holds at all endpoints.
    pub const KEYED_EVERYWHERE: usize = 4;
    /// How many there are.
    pub const COUNT: usize = 5;
}

/// Returns a time in milliseconds.
pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Returns the entry of a ready endpoint that started long ago. It is in zone and cell `number %
/// 3`.
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

/// Returns the entry of an endpoint that started at this time.
pub fn started_entry(number: u64, started: Duration) -> EndpointEntry {
    EndpointEntry {
        started: Some(started),
        ..entry(number)
    }
}

/// Returns the entry of an endpoint that drains.
pub fn draining_entry(number: u64) -> EndpointEntry {
    EndpointEntry {
        state: EndpointState::Draining,
        ..entry(number)
    }
}

/// Returns a class with the latency objective and deadline of all classes.
pub fn class(idempotency: Idempotency) -> RequestClass {
    RequestClass {
        latency_objective: LATENCY_OBJECTIVE,
        objective_stretch: 0.0,
        deadline: DEADLINE,
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency,
        streamed: false,
    }
}

/// Returns settings for three nodes without load reports, with the classes of [`classes`].
pub fn settings() -> Settings {
    let keyed = |scope| Idempotency::Keyed {
        scope,
        window: DEDUPLICATION_WINDOW,
    };
    let classes = [
        Idempotency::Idempotent,
        Idempotency::NotIdempotent,
        keyed(IdempotencyScope::Zone),
        keyed(IdempotencyScope::Cell),
        keyed(IdempotencyScope::All),
    ];
    let mut settings = Settings {
        node_count: 3,
        classes: classes.map(class).to_vec(),
        ..Settings::default()
    };
    settings.limits.allow_cancellation = true;
    settings.limits.allow_parallel_attempts = true;
    settings
}

/// Returns settings in which load reports come with health checks only.
pub fn health_check_settings() -> Settings {
    let mut settings = settings();
    settings.load_reports = LoadReportSource::HealthChecks;
    settings.limits.allow_health_checks = true;
    settings.cost_weights.health_check = 0.002;
    settings
}

/// Returns settings in which load reports come with responses.
pub fn response_report_settings() -> Settings {
    Settings {
        load_reports: LoadReportSource::Responses,
        ..settings()
    }
}

/// Returns a load report that says only how many requests an endpoint has in flight.
pub fn in_flight_report(in_flight: f32) -> LoadReport {
    LoadReport {
        in_flight: Some(in_flight),
        ..LoadReport::default()
    }
}
