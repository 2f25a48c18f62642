//! The settings of a node, as the balancer works with them.
//!
//! Times are [`Duration`]s; a point in time is the time since some fixed moment of the host's
//! monotonic clock.

use crate::numeric::Seconds;
use std::time::Duration;

/// The settings of one node.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many nodes share the traffic, this one included; at least 1.
    pub node_count: u32,
    /// This node's index among them, from 0.
    pub node_index: u32,
    /// The zone this node is in.
    pub zone: u8,
    /// The request classes; events name them by position.
    pub classes: Vec<RequestClass>,
    /// The tenants; events name them by position. Empty where there are none.
    pub tenants: Vec<Tenant>,
    /// The priority weight of a request beyond its tenant's quota, as a fraction of its class's.
    pub over_quota_weight: f64,
    /// Whether the goal counts units of work instead of requests.
    pub weight_by_work: bool,
    /// How endpoints report their load.
    pub load_reports: LoadReportSource,
    /// What the site permits.
    pub limits: Limits,
    /// The parameters of the rules that must never be broken.
    pub rules: Rules,
    /// What is deducted from the goal, as fractions of the service.
    pub cost_weights: CostWeights,
    /// The weights of the goal's parts.
    pub objective_weights: ObjectiveWeights,
    /// Whether the endpoint list must be polled; otherwise changes are pushed.
    pub poll_endpoints: bool,
    /// The least time between two rounds of events, and so the precision of timers.
    pub tick: Duration,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// A response within this time counts in full.
    pub latency_objective: Duration,
    /// The objective is longer by this multiple of the request's own work, within the deadline.
    pub objective_stretch: f64,
    /// How long a client waits in all, over all its retries.
    pub deadline: Duration,
    /// What a response within the objective counts for.
    pub priority_weight: f64,
    /// The fraction of it that a response after the objective still counts for.
    pub late_weight: f64,
    /// How far a request may be retried once it may have run.
    pub idempotency: Idempotency,
    /// Whether responses are streamed, so that
    /// [`Event::StreamStarted`](crate::Event::StreamStarted) arrives.
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
        scope: Scope,
        /// How long they keep a key, from the start of the first attempt that may have run.
        window: Duration,
    },
    /// It must never run twice.
    NotIdempotent,
}

/// The endpoints that drop the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
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
    /// Requests per second within its quota, over all nodes.
    pub quota_per_s: f64,
    /// Its fraction of the service.
    pub quota_share: f64,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportSource {
    /// With responses, and with health check results.
    Responses,
    /// With health check results only.
    HealthChecks,
    /// There are none.
    None,
}

/// What the site permits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The most attempts for a request.
    pub max_attempts: u32,
    /// Whether an attempt may be cancelled.
    pub cancel: bool,
    /// Whether endpoints may be health-checked.
    pub health_checks: bool,
    /// Whether two attempts of a request may be in flight at once (hedged requests).
    pub parallel_attempts: bool,
    /// The longest `Retry-After` that clients obey; `None` if they know of none.
    pub max_retry_after: Option<Duration>,
    /// A connection not established after this time has failed.
    pub connect_timeout: Duration,
}

/// The parameters of the rules that must never be broken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// How long after learning of it a node may still send to an endpoint that drains or was
    /// removed.
    pub drain_grace: Duration,
    /// An endpoint starts with this fraction of its capacity, or more.
    pub initial_capacity: f64,
    /// It has its whole capacity after this time at the latest.
    pub slow_start_window: Duration,
    /// A starting endpoint fails when sent more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... for this long.
    pub overload_window: Duration,
    /// Where the list is polled: the longest time without a poll or a subscription.
    pub poll_interval: Duration,
}

/// What is deducted from the goal.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CostWeights {
    /// One health check for each request costs this fraction of the service.
    pub health_check: f64,
    /// An attempt that crosses zones, for each request.
    pub cross_zone: f64,
    /// Wasted work, as much as was asked for.
    pub waste: f64,
    /// All requests failing only after their objective.
    pub late_failure: f64,
    /// A new connection for each request and 100 connections open to each endpoint, together.
    pub connections: f64,
}

/// The weights of the goal's parts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ObjectiveWeights {
    /// The whole time.
    pub whole: f64,
    /// The worst time window.
    pub worst_window: f64,
    /// The worst-served class.
    pub worst_class: f64,
    /// The worst-served tenant, within its quota.
    pub worst_tenant: f64,
}

impl Settings {
    /// Whether endpoints report their load to health checks, and only to them.
    pub(crate) fn loads_are_polled(&self) -> bool {
        self.load_reports == LoadReportSource::HealthChecks && self.limits.health_checks
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
                cancel: false,
                health_checks: false,
                parallel_attempts: false,
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
                whole: 1.0,
                ..ObjectiveWeights::default()
            },
            poll_endpoints: false,
            tick: Duration::from_millis(1),
        }
    }
}
