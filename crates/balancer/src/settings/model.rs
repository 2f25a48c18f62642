//! The settings of a node, as the balancer works with them.
//!
//! Times are [`Duration`]s; a point in time is the time since some fixed moment of the host's
//! monotonic clock.

use crate::numeric::Seconds;
use std::time::Duration;

/// The settings of one node.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The number of nodes that share the traffic, this one included; at least 1.
    pub node_count: u32,
    /// This node's index among them, from 0.
    pub node_index: u32,
    /// The number of the zone that this node is in.
    /// It is read from the settings, and no decision uses it.
    pub zone: u8,
    /// The request classes. Events name them by index; there is at least one.
    pub classes: Vec<RequestClass>,
    /// The tenants. Events name them by index; empty where there are none.
    pub tenants: Vec<Tenant>,
    /// The priority weight of a request beyond its tenant's quota, as a fraction of its class's.
    pub over_quota_weight: f64,
    /// Whether the objective counts units of work instead of requests.
    pub weight_by_work: bool,
    /// How endpoints report their load.
    pub load_reports: LoadReportSource,
    /// What the operators permit.
    pub limits: Limits,
    /// The parameters of the rules that must never be broken.
    pub rules: Rules,
    /// What is deducted from the objective, as fractions of the service.
    pub cost_weights: CostWeights,
    /// The weights of the objective's parts.
    pub objective_weights: ObjectiveWeights,
    /// Whether the endpoint list must be polled; otherwise changes are pushed.
    pub poll_endpoints: bool,
    /// The least time between two rounds of events, which is the precision of timers.
    pub tick: Duration,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// The time within which a response counts in full.
    pub latency_objective: Duration,
    /// The multiple of a request's own work by which its latency objective is longer, up to its
    /// deadline.
    pub objective_stretch: f64,
    /// How long a client waits in all, over all its own retries.
    pub deadline: Duration,
    /// What a response within the latency objective counts for.
    pub priority_weight: f64,
    /// The fraction of the priority weight that a later response still counts for.
    pub late_weight: f64,
    /// How far a request may be retried once it may have run.
    pub idempotency: Idempotency,
    /// Whether responses are streamed, so that
    /// [`Event::StreamStarted`](crate::Event::StreamStarted) arrives.
    /// It is read from the settings, and no decision uses it.
    pub streamed: bool,
}

/// How far a request may be retried once an attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be retried freely.
    Idempotent,
    /// Endpoints drop repeats of its idempotency key, within a scope and for a time.
    Keyed {
        /// The endpoints that share their idempotency keys.
        scope: IdempotencyScope,
        /// How long they keep a key, from the start of the first attempt that may have run.
        window: Duration,
    },
    /// It must never run twice.
    NotIdempotent,
}

/// The endpoints that drop the repeats of a keyed request.
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
    /// The requests per second within its quota, over all nodes.
    pub quota_per_s: f64,
    /// The fraction of the service within its quota.
    /// It is read from the settings, and no decision uses it.
    pub quota_share: f64,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportSource {
    /// They come with responses and with the results of health checks.
    Responses,
    /// They come with the results of health checks only.
    HealthChecks,
    /// There are none.
    None,
}

/// What the operators permit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The most attempts at a request, hedged ones included.
    pub max_attempts: u32,
    /// Whether an attempt may be cancelled.
    pub allow_cancellation: bool,
    /// Whether endpoints may be health-checked.
    pub allow_health_checks: bool,
    /// Whether two attempts of a request may be in flight at once (hedged requests).
    pub allow_parallel_attempts: bool,
    /// The longest `Retry-After` that clients obey; `None` if they do not know that header.
    pub max_retry_after: Option<Duration>,
    /// The time after which a connection that is not established has failed.
    pub connect_timeout: Duration,
}

/// The parameters of the rules that must never be broken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// How long after learning of it a node may still send to an endpoint that drains or was
    /// removed.
    pub drain_grace: Duration,
    /// The fraction of its capacity that an endpoint has at least when it starts.
    pub initial_capacity: f64,
    /// The time from an endpoint's start after which it has its whole capacity at the latest.
    pub slow_start_window: Duration,
    /// The multiple of its present capacity beyond which a starting endpoint is overloaded.
    pub overload_factor: f64,
    /// How long a starting endpoint may be overloaded before it fails.
    pub overload_window: Duration,
    /// The longest time without a poll or a subscription, where the endpoint list is polled.
    pub poll_interval: Duration,
}

/// What is deducted from the objective, as fractions of the service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CostWeights {
    /// The cost of one health check for each request.
    pub health_check: f64,
    /// The cost of one attempt to another zone for each request.
    /// It is read from the settings, and no decision uses it.
    pub cross_zone: f64,
    /// The cost of wasting as much work as was asked for.
    /// It is read from the settings, and no decision uses it.
    pub waste: f64,
    /// The cost of all requests failing after their latency objective.
    /// It is read from the settings, and no decision uses it.
    pub late_failure: f64,
    /// The cost of a new connection for each request and 100 open connections to each endpoint.
    pub connections: f64,
}

/// The weights of the objective's parts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ObjectiveWeights {
    /// The service over the whole time.
    pub overall: f64,
    /// The service in the worst time window.
    /// It is read from the settings, and no decision uses it.
    pub worst_window: f64,
    /// The service of the worst-served class.
    pub worst_class: f64,
    /// The service of the worst-served tenant within its quota.
    /// It is read from the settings, and no decision uses it.
    pub worst_tenant: f64,
}

impl Settings {
    /// Returns whether endpoints report their load to health checks, and only to them.
    pub(crate) fn loads_are_polled(&self) -> bool {
        self.load_reports == LoadReportSource::HealthChecks && self.limits.allow_health_checks
    }

    /// Returns the window over which rates are taken: a few of those in which a starting endpoint
    /// is judged.
    pub(crate) fn rate_window(&self) -> Seconds {
        const WINDOWS: f64 = 3.0;
        const MIN_WINDOW: Seconds = Seconds::new(1e-3);
        Seconds::from(self.rules.overload_window).max(MIN_WINDOW) * WINDOWS
    }
}

impl Default for Settings {
    /// One node, one idempotent class, no tenants, no load reports, no health checks.
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
