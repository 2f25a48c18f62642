//! The settings of a node, as the balancer uses them.

use crate::numeric::Seconds;
use std::time::Duration;

/// The settings of one node.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The number of nodes that share the traffic, including this one; at least 1.
    pub node_count: u32,
    /// The index of this node among them, from 0.
    pub node_index: u32,
    /// The number of this node's zone.
    /// No decision uses it.
    pub zone: u8,
    /// The request classes; at least one. Events refer to them by index.
    pub classes: Vec<RequestClass>,
    /// The tenants; may be empty. Events refer to them by index.
    pub tenants: Vec<Tenant>,
    /// The factor by which a request's priority weight is multiplied if the request exceeds its
    /// tenant's quota.
    pub over_quota_weight: f64,
    /// Whether the objective counts units of work instead of requests.
    pub weight_by_work: bool,
    /// How endpoints report their load.
    pub load_reports: LoadReportSource,
    /// Limits and permissions.
    pub limits: Limits,
    /// The parameters of the rules that hold without exception.
    pub rules: Rules,
    /// The costs that are deducted from the objective.
    pub cost_weights: CostWeights,
    /// The weights of the terms of the objective.
    pub objective_weights: ObjectiveWeights,
    /// Whether the endpoint list must be polled. Otherwise discovery pushes changes.
    pub poll_endpoints: bool,
    /// The minimum time between two rounds of events. It is the precision of timers.
    pub tick: Duration,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// The time within which a response has its full weight.
    pub latency_objective: Duration,
    /// The multiple of a request's cost hint by which its latency objective is extended. The
    /// extended objective does not exceed the deadline.
    pub objective_stretch: f64,
    /// The total time that a client waits for a response, across all its retries.
    pub deadline: Duration,
    /// The weight of a response within the latency objective.
    pub priority_weight: f64,
    /// The weight of a later response, as a fraction of the priority weight.
    pub late_weight: f64,
    /// Whether and where a request may be retried once it may have run.
    pub idempotency: Idempotency,
    /// Whether responses are streamed, so that
    /// [`Event::StreamStarted`](crate::Event::StreamStarted) arrives.
    /// No decision uses it.
    pub streamed: bool,
}

/// Whether and where a request may be retried once an attempt may have run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may be retried without restriction.
    Idempotent,
    /// The request carries an idempotency key. Endpoints drop repeats of the key within a scope,
    /// for a limited time.
    Keyed {
        /// The endpoints that share their idempotency keys.
        scope: IdempotencyScope,
        /// How long they keep a key, from the start of the first attempt that may have run the
        /// request.
        window: Duration,
    },
    /// The request must not run twice.
    NotIdempotent,
}

/// The endpoints that share their idempotency keys, and so drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    /// All endpoints.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

/// A tenant and its quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// The quota in requests per second, across all nodes.
    pub quota_per_s: f64,
    /// The fraction of the service within its quota.
    /// No decision uses it.
    pub quota_share: f64,
}

/// How endpoints deliver their load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportSource {
    /// With responses and with the results of health checks.
    Responses,
    /// Only with the results of health checks.
    HealthChecks,
    /// Endpoints send no load reports.
    None,
}

/// Limits and permissions that the operators set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The maximum number of attempts per request, including hedged ones.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub allow_cancellation: bool,
    /// Whether health checks may be sent.
    pub allow_health_checks: bool,
    /// Whether two attempts of a request may be in flight at once (hedged requests).
    pub allow_parallel_attempts: bool,
    /// The longest `Retry-After` that clients obey; `None` if they do not support that header.
    pub max_retry_after: Option<Duration>,
    /// The timeout for establishing a connection.
    pub connect_timeout: Duration,
}

/// The parameters of the rules that hold without exception.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// How long a node may still send to an endpoint after it learns that the endpoint drains or
    /// was removed.
    pub drain_grace: Duration,
    /// The minimum fraction of its full capacity that an endpoint has when it starts.
    pub initial_capacity: f64,
    /// The maximum time from the start of an endpoint until it has its full capacity.
    pub slow_start_window: Duration,
    /// The multiple of its current capacity above which an endpoint in slow start is overloaded.
    pub overload_factor: f64,
    /// How long an endpoint in slow start may be overloaded before it fails.
    pub overload_window: Duration,
    /// The maximum time without a poll or a subscription, if the endpoint list must be polled.
    pub poll_interval: Duration,
}

/// The costs that are deducted from the objective, as fractions of the total weight of all
/// requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CostWeights {
    /// The cost of one health check per request.
    pub health_check: f64,
    /// The cost of one attempt to another zone per request.
    /// No decision uses it.
    pub cross_zone: f64,
    /// The cost if as much work is wasted as was requested.
    /// No decision uses it.
    pub waste: f64,
    /// The cost if all requests fail after their latency objective.
    /// No decision uses it.
    pub late_failure: f64,
    /// The cost of one new connection per request, plus that of 100 open connections per endpoint.
    pub connections: f64,
}

/// The weights of the terms of the objective.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ObjectiveWeights {
    /// The weight of the service over the whole time.
    pub overall: f64,
    /// The weight of the service in the worst time window.
    /// No decision uses it.
    pub worst_window: f64,
    /// The weight of the service of the worst-served class.
    pub worst_class: f64,
    /// The weight of the service of the worst-served tenant within its quota.
    /// No decision uses it.
    pub worst_tenant: f64,
}

impl Settings {
    /// Returns whether the node polls loads: health checks are allowed, and reports come only with
    /// them.
    pub(crate) fn loads_are_polled(&self) -> bool {
        self.load_reports == LoadReportSource::HealthChecks && self.limits.allow_health_checks
    }

    /// Returns the time window over which rates are averaged: three overload windows.
    pub(crate) fn rate_window(&self) -> Seconds {
        const OVERLOAD_WINDOWS: f64 = 3.0;
        const MIN_WINDOW: Seconds = Seconds::new(1e-3);
        Seconds::from(self.rules.overload_window).max(MIN_WINDOW) * OVERLOAD_WINDOWS
    }
}

impl Default for Settings {
    /// Returns settings for one node with one idempotent class, and without tenants, load reports
    /// and health checks.
    fn default() -> Self {
        Settings {
            node_count: 1,
            node_index: 0,
            zone: 0,
            classes: vec![RequestClass {
                latency_objective: Duration::from_millis(500),
                objective_stretch: 0.0,
                deadline: Duration::from_secs(1),
                priority_weight: 1.0,
                late_weight: 0.0,
                idempotency: Idempotency::Idempotent,
                streamed: false,
            }],
            tenants: Vec::new(),
            over_quota_weight: 1.0,
            weight_by_work: false,
            load_reports: LoadReportSource::None,
            limits: Limits {
                max_attempts: 3,
                allow_cancellation: false,
                allow_health_checks: false,
                allow_parallel_attempts: false,
                max_retry_after: None,
                connect_timeout: Duration::from_millis(250),
            },
            rules: Rules {
                drain_grace: Duration::from_secs(1),
                initial_capacity: 1.0,
                slow_start_window: Duration::ZERO,
                overload_factor: 3.0,
                overload_window: Duration::from_secs(2),
                poll_interval: Duration::from_secs(10),
            },
            cost_weights: CostWeights::default(),
            objective_weights: ObjectiveWeights {
                overall: 1.0,
                ..ObjectiveWeights::default()
            },
            poll_endpoints: false,
            tick: Duration::from_millis(1),
        }
    }
}
