//! The balancer of one node: a state machine that takes events and returns the actions for its
//! host.
//!
//! This module dispatches each event and makes no decision itself:
//!
//! - `life_cycle` follows a request from its arrival to its end.
//! - `eligibility` holds the rules that every attempt must satisfy.
//! - `routing` selects the endpoint of a request.
//! - `rejection` sheds or fails a request that no endpoint serves.
//! - `feedback` records the results of attempts and health checks.
//! - `endpoint_list` applies the endpoint list from discovery.

mod eligibility;
mod endpoint_list;
mod feedback;
mod life_cycle;
mod rejection;
mod routing;

use crate::admission::Admission;
use crate::endpoint_polling::EndpointPolling;
use crate::endpoints::EndpointSet;
use crate::estimates::load_snapshot::LoadSnapshot;
use crate::estimates::{DeclaredWork, ResponseTimes};
use crate::health::active_check::ActiveChecks;
use crate::health::outlier_ejection::OutlierDetector;
use crate::numeric::Random;
use crate::priority::Priorities;
use crate::requests::{PendingRequest, QueuedRequests};
use crate::retry::budget::RetryBudget;
use crate::retry::client_retry::ClientRetries;
use crate::retry::hedging::Hedging;
use crate::routing::join_up_to::JoinUpTo;
use crate::routing::slow_start::SlowStart;
use crate::routing::start_time::StartTimes;
use crate::routing::subset::Subset;
use crate::{Action, Event, RequestId, Settings, Timer};
use std::collections::BTreeMap;
use std::time::Duration;

/// Makes the load-balancing decisions of one node.
pub struct Balancer {
    settings: Settings,
    random: Random,
    /// The time of the last event; zero before the first event.
    now: Duration,
    endpoints: EndpointSet,
    requests: BTreeMap<RequestId, PendingRequest>,
    response_times: ResponseTimes,
    declared_work: DeclaredWork,
    join_up_to: JoinUpTo,
    subset: Subset,
    slow_start: SlowStart,
    start_times: StartTimes,
    outliers: OutlierDetector,
    active_checks: ActiveChecks,
    queued: QueuedRequests,
    admission: Admission,
    priorities: Priorities,
    retry_budget: RetryBudget,
    hedging: Hedging,
    client_retries: ClientRetries,
    polling: EndpointPolling,
}

/// The number of entries in the tables of a [`Balancer`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// Listed endpoints.
    pub endpoints: usize,
    /// Requests that await their final response or the end of an attempt.
    pub requests: usize,
    /// The part of `requests` that is queued until a health check ends.
    pub queued: usize,
}

impl Balancer {
    /// Returns the balancer of a node that has just started. `seed` determines all of its random
    /// numbers.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Balancer {
            random: Random::new(seed),
            now: Duration::ZERO,
            endpoints: EndpointSet::new(&settings),
            requests: BTreeMap::new(),
            response_times: ResponseTimes::new(&settings),
            declared_work: DeclaredWork::default(),
            join_up_to: JoinUpTo::new(&settings),
            subset: Subset::new(&settings),
            slow_start: SlowStart::new(&settings),
            start_times: StartTimes::new(&settings.rules),
            outliers: OutlierDetector::new(&settings),
            active_checks: ActiveChecks::new(&settings),
            queued: QueuedRequests::default(),
            admission: Admission::new(&settings),
            priorities: Priorities::new(&settings),
            retry_budget: RetryBudget::new(),
            hedging: Hedging::new(&settings),
            client_retries: ClientRetries::new(&settings),
            polling: EndpointPolling::new(&settings),
            settings,
        }
    }

    /// Handles an event that happened at `now`, and appends the actions for the host to `actions`,
    /// in order.
    ///
    /// `now` is the time since a fixed point of the host's monotonic clock. If it is earlier than
    /// the time of the previous event, the previous time is used.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        let is_first = self.now.is_zero();
        // At least 1 ns, since zero stands for "no event yet".
        self.now = now.max(self.now).max(Duration::from_nanos(1));
        if is_first {
            self.start(actions);
        }
        match event {
            Event::EndpointList { kind, entries } => self.on_endpoint_list(kind, entries, actions),
            Event::Request(request) => self.on_request(request, actions),
            Event::StreamStarted { id, .. } => self.on_stream_started(id),
            Event::AttemptEnded(end) => self.on_attempt_ended(end, actions),
            Event::ClientDisconnected { id } => self.close(id, actions),
            Event::Timer(Timer::EndpointPolling) => self.poll_endpoints(actions),
            Event::Timer(Timer::Request(id)) => self.on_request_timer(id, actions),
            Event::HealthCheckEnded(end) => self.on_health_check_ended(end, actions),
        }
    }

    /// Returns the number of entries in the tables of this balancer. An endpoint is removed when
    /// it leaves the endpoint list, a closed request when its last attempt has ended.
    pub fn table_sizes(&self) -> TableSizes {
        TableSizes {
            endpoints: self.endpoints.len(),
            requests: self.requests.len(),
            queued: self.queued.ids().len(),
        }
    }

    /// Initializes the time-dependent state at the first event.
    fn start(&mut self, actions: &mut Vec<Action>) {
        self.slow_start.start(self.now);
        if self.settings.poll_endpoints {
            self.polling.start(self.now, &mut self.random);
            self.poll_endpoints(actions);
        }
    }

    /// Returns the number of ready endpoints in this node's subset.
    fn subset_size(&self) -> usize {
        self.subset.size(
            self.endpoints.ready_count(),
            self.response_times.mean(),
            self.now,
        )
    }

    /// Returns the estimates of endpoint loads at the present time.
    fn load_snapshot(&self) -> LoadSnapshot {
        LoadSnapshot::new(
            self.settings.loads_are_polled(),
            self.response_times.mean(),
            self.now,
        )
    }
}
