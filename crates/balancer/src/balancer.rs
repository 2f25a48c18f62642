//! The balancer of one node. It routes each event to the concerns that take it in, and decides
//! nothing itself: the life cycle of a request is in `balancer/life_cycle.rs`, where it goes in
//! `balancer/dispatch.rs`.

mod dispatch;
mod life_cycle;

use crate::admission::Admission;
use crate::endpoint_polling::EndpointPolling;
use crate::endpoints::{Endpoint, EndpointSet, HealthSignal, ReportedLoad, reported_load};
use crate::estimates::load_snapshot::LoadSnapshot;
use crate::estimates::{DeclaredWork, ResponseTimes};
use crate::health::active_check::ActiveChecks;
use crate::health::observation::{ClassContext, Observation};
use crate::health::outlier_ejection::{self, OutlierDetector};
use crate::numeric::Random;
use crate::priority::Priorities;
use crate::requests::{Attempt, PendingRequest, QueuedRequests};
use crate::retry::budget::RetryBudget;
use crate::retry::client_retry::ClientRetries;
use crate::retry::hedging::Hedging;
use crate::routing::join_up_to::JoinUpTo;
use crate::routing::slow_start::SlowStart;
use crate::routing::start_time::StartTimes;
use crate::routing::subset::Subset;
use crate::{
    Action, AttemptEnd, EndpointEntry, EndpointId, Event, HealthCheckEnd, ListKind, LoadReport,
    Outcome, RequestId, Settings, Timer,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// The decisions of one node.
pub struct Balancer {
    settings: Settings,
    random: Random,
    /// The time of the last event; zero before the first.
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

/// How many entries the tables of a [`Balancer`] hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// Listed endpoints.
    pub endpoints: usize,
    /// Requests that await their final answer or the end of an attempt.
    pub requests: usize,
    /// Those of them that are held until a health check has been answered.
    pub queued: usize,
}

impl Balancer {
    /// A node that has just started and holds no state.
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

    /// Takes in what happened at `now` and adds what is to be done to `actions`, in order.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        let is_first = self.now.is_zero();
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
            Event::HealthCheckEnded(end) => self.on_health_checked(end, actions),
        }
    }

    /// How many entries its tables hold. Endpoints leave with the list, requests with the end of
    /// their last attempt.
    pub fn table_sizes(&self) -> TableSizes {
        TableSizes {
            endpoints: self.endpoints.len(),
            requests: self.requests.len(),
            queued: self.queued.ids().len(),
        }
    }

    fn start(&mut self, actions: &mut Vec<Action>) {
        self.slow_start.start(self.now);
        if self.settings.poll_endpoints {
            self.polling.start(self.now, &mut self.random);
            self.poll_endpoints(actions);
        }
    }

    // The endpoint list.

    fn poll_endpoints(&mut self, actions: &mut Vec<Action>) {
        self.subscribe_if_due(actions);
        let after = self.polling.check_interval();
        actions.push(Action::SetTimer {
            after,
            timer: Timer::EndpointPolling,
        });
    }

    fn subscribe_if_due(&mut self, actions: &mut Vec<Action>) {
        if self.polling.call_is_due(self.now) {
            actions.push(Action::Subscribe { enabled: true });
        }
    }

    fn on_endpoint_list(
        &mut self,
        kind: ListKind,
        entries: Vec<EndpointEntry>,
        actions: &mut Vec<Action>,
    ) {
        match kind {
            ListKind::Failed => {
                self.polling.record_failure(self.now, &mut self.random);
                return self.subscribe_if_due(actions);
            }
            ListKind::Cached => {}
            ListKind::Delta | ListKind::Snapshot => self.polling.record_list(),
        }
        let send_count = self.endpoints.mean_send_count(self.subset_size());
        let had_endpoints = self.endpoints.has_listed_endpoints();
        let (start_times, now) = (&self.start_times, self.now);
        self.endpoints.apply(kind, entries, |entry| {
            let started = start_times.resolve(entry, had_endpoints, now);
            Endpoint::newly_listed(*entry, started, send_count, now)
        });
    }

    // What is recorded of requests and endpoints.

    fn on_stream_started(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.stage.start_streaming();
        }
    }

    /// An attempt was started.
    fn record_attempt(&mut self, id: RequestId, attempt: Attempt) {
        if let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint.id) {
            endpoint.in_flight += 1;
            endpoint.permit.consume();
            if let Some(load) = &mut endpoint.reported_load {
                load.add_send();
            }
            self.join_up_to.record_send(endpoint);
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.add_attempt(attempt);
        }
        self.subset.record_send(self.now);
        self.queued.remove(id);
    }

    fn learn(&mut self, end: &AttemptEnd) {
        let Some(request) = self.requests.get(&end.id) else {
            return;
        };
        let Some(attempt) = request.attempts.get(end.attempt as usize) else {
            return;
        };
        let context = ClassContext {
            class: &self.settings.classes[request.class],
            mean_response_time: self.response_times.class_mean(request.class),
        };
        let observation = Observation::new(request, attempt, end, &context, self.now);
        let load_level = attempt.load_level;
        let served = end.outcome == Outcome::Served;
        if served {
            self.response_times
                .record(request.class, request.relative_work, end.elapsed);
        }
        if let Some(endpoint) = self.endpoints.get_mut(end.endpoint) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
            if served {
                self.slow_start
                    .record_served(endpoint, request.relative_work, self.now);
            }
        }
        self.record_report(end.endpoint, end.report, served);
        if let Some(signal) = observation.health() {
            self.record_health(end.endpoint, signal);
        }
        if let Some(timeliness) = observation.timeliness() {
            self.admission.record(timeliness, load_level);
        }
    }

    fn on_health_checked(&mut self, end: HealthCheckEnd, actions: &mut Vec<Action>) {
        if let Some(endpoint) = self.endpoints.get_mut(end.endpoint) {
            endpoint.check_in_flight = false;
            endpoint.reported_load = None;
        }
        self.record_report(end.endpoint, end.report, end.outcome == Outcome::Served);
        if end.outcome == Outcome::ConnectFailed {
            self.record_health(end.endpoint, HealthSignal::Unreachable);
        }
        let was_last = self.active_checks.record_end();
        for id in self.queued.ids().to_vec() {
            if was_last {
                self.queued.remove(id);
            }
            self.dispatch(id, actions);
        }
    }

    fn record_report(&mut self, id: EndpointId, report: Option<LoadReport>, served: bool) {
        let Some(load) = report.as_ref().and_then(reported_load) else {
            return;
        };
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        endpoint.reported_load = Some(ReportedLoad::new(load, self.now));
        self.join_up_to
            .record_report(endpoint, load, served, self.now);
    }

    fn record_health(&mut self, id: EndpointId, signal: HealthSignal) {
        let nearby = 2 * self.subset_size();
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        let verdict = self.outliers.record(endpoint, signal);
        if !outlier_ejection::allows_ejection(verdict, &self.endpoints, nearby) {
            return;
        }
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            self.outliers.eject(endpoint, self.now);
        }
    }

    /// How many of the ready endpoints this node uses.
    fn subset_size(&self) -> usize {
        self.subset.size(
            self.endpoints.ready_count(),
            self.response_times.mean(),
            self.now,
        )
    }

    /// The loads of the endpoints as they are known now.
    fn load_snapshot(&self) -> LoadSnapshot {
        LoadSnapshot::new(
            self.settings.loads_are_polled(),
            self.response_times.mean(),
            self.now,
        )
    }
}
