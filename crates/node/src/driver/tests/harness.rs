//! A test harness that runs a driver and its upstream side in virtual time.

use crate::clock::Clock;
use crate::config::Config;
use crate::driver::request_table::RequestTableUsage;
use crate::driver::{Driver, DriverChannels};
use crate::memory_budget::MemoryBudget;
use crate::message::{
    DriverMessage, EndpointListUpdate, FinalResponse, IncomingRequest, ListedEndpoint,
    UpstreamRequest,
};
use crate::startup::{driver_options, upstream_options};
use crate::upstream::{Upstream, pool};
use bytes::Bytes;
use hyper::Method;
use hyper::header::HeaderValue;
use hyper::http::uri::PathAndQuery;
use ottertiller_balancer::{ListKind, NewRequest, RequestId, TableSizes};
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::LocalSet;
use tokio::time::sleep;

/// The size of the memory budget, in bytes.
const BUDGET_BYTES: usize = 4 << 20;
/// The size of a request's body, in bytes.
pub(super) const BODY_BYTES: usize = 512;
/// The latency objective of all classes.
pub(super) const LATENCY_OBJECTIVE: Duration = Duration::from_millis(200);
/// The deadline of all classes.
pub(super) const DEADLINE: Duration = Duration::from_millis(400);
/// Longer than any deadline, timeout and connection cooldown, so that all of them have passed.
pub(super) const SETTLE_TIME: Duration = Duration::from_secs(5);

/// The class of idempotent requests.
pub(super) const IDEMPOTENT: usize = 0;
/// The class of keyed requests.
pub(super) const KEYED: usize = 1;
/// The class of requests that are not idempotent.
pub(super) const NOT_IDEMPOTENT: usize = 2;

/// Returns a configuration with these values of the settings `LoadReport.Via` and
/// `Classes[N].LateWorth`.
pub(super) fn config(load_report_via: &str, late_weight: f64) -> Config {
    let class = |name: &str, idempotency: &str| {
        format!(
            r#"{{"Name":"{name}","Target":200,"GiveUp":400,"Idempotency":"{idempotency}","Group":"cell",
            "Window":60000,"LateWorth":{late_weight}}}"#
        )
    };
    let classes = [
        class("read", "free"),
        class("submit", "guarded"),
        class("correct", "single_shot"),
    ]
    .join(",");
    let text = format!(
        r#"{{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"7","settings":{{"Classes":[{classes}],
        "NInstances":2,"Quantum":1,"Rules":{{"DrainGrace":60000}},
        "LoadReport":{{"Columns":["concurrent","depth"],"Via":"{load_report_via}"}},
        "Permissions":{{"AttemptsCap":3,"Cancel":true,"ParallelTries":true,"Probes":true,"RetryAfter":true,
        "MaxRetryAfter":500,"ConnectTimeout":100,"IdleClose":2000}}}}}}"#
    );
    Config::parse(&text).expect("a valid configuration")
}

/// A driver under test, with its inbox and the source of its messages.
pub(super) struct DriverHarness {
    pub driver: Driver,
    inbox: mpsc::Receiver<DriverMessage>,
    source: MessageSource,
}

/// Sends the driver the messages that the downstream side and discovery would send.
pub(super) struct MessageSource {
    clock: Clock,
    pub messages: mpsc::Sender<DriverMessage>,
    budget: MemoryBudget,
    last_id: Cell<u64>,
}

/// The table entries and the memory that are in use for requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Usage {
    /// Requests in flight.
    pub requests: usize,
    /// Pending timers.
    pub timers: usize,
    /// Leased bytes of the memory budget.
    pub leased_bytes: usize,
}

impl DriverHarness {
    /// Creates the harness. The driver runs only during [`DriverHarness::run`].
    pub(super) fn start(config: &Config) -> Self {
        let clock = Clock::start();
        let (messages, inbox) = mpsc::channel(4096);
        let (discovery, _) = mpsc::channel(16);
        let budget = MemoryBudget::new(BUDGET_BYTES);
        let upstream = Upstream::start(clock, upstream_options(config), budget.clone());
        let channels = DriverChannels {
            driver: messages.clone(),
            discovery,
        };
        let driver = Driver::new(clock, driver_options(config), upstream, channels);
        DriverHarness {
            driver,
            inbox,
            source: MessageSource {
                clock,
                messages,
                budget,
                last_id: Cell::new(0),
            },
        }
    }

    /// Runs the driver until `scenario` completes, and returns its result.
    pub(super) async fn run<T>(&mut self, scenario: impl AsyncFnOnce(&MessageSource) -> T) -> T {
        tokio::select! {
            () = self.driver.run(&mut self.inbox) => panic!("the driver ended"),
            result = scenario(&self.source) => result,
        }
    }

    /// Sends a request, and runs the driver for `time`.
    pub(super) async fn request_and_advance(
        &mut self,
        class: usize,
        script: &str,
        time: Duration,
    ) -> (RequestId, oneshot::Receiver<FinalResponse>) {
        self.run(async |source| {
            let request = source.send_request(class, script, DEADLINE).await;
            sleep(time).await;
            request
        })
        .await
    }

    /// Returns the usage of all tables of the node: the driver's, the balancer's and the pool's.
    pub(super) fn all_usage(&self) -> (Usage, TableSizes, pool::PoolUsage) {
        let balancer = self.driver.balancer.table_sizes();
        (self.usage(), balancer, self.driver.upstream.pool_usage())
    }

    /// Returns the usage of the driver's table and of the memory budget.
    pub(super) fn usage(&self) -> Usage {
        let RequestTableUsage { requests, timers } = self.driver.requests.usage();
        Usage {
            requests,
            timers,
            leased_bytes: BUDGET_BYTES - self.source.budget.available(),
        }
    }
}

impl MessageSource {
    /// Sends an endpoint list update, and waits until it has been handled.
    pub(super) async fn send_list(&self, kind: ListKind, endpoints: Vec<ListedEndpoint>) {
        let sent = self
            .messages
            .send(DriverMessage::EndpointList(EndpointListUpdate {
                kind,
                endpoints,
            }))
            .await;
        sent.expect("the driver runs");
        sleep(Duration::from_millis(1)).await;
    }

    /// Sends a client's request. `script` tells the scripted endpoint what to do with it.
    pub(super) async fn send_request(
        &self,
        class: usize,
        script: &str,
        remaining: Duration,
    ) -> (RequestId, oneshot::Receiver<FinalResponse>) {
        self.last_id.set(self.last_id.get() + 1);
        let id = RequestId(self.last_id.get());
        let now = self.clock.now();
        let (response_sender, response) = oneshot::channel();
        let incoming = IncomingRequest {
            request: NewRequest {
                id,
                class,
                remaining,
                ..NewRequest::default()
            },
            received_at: now,
            upstream_request: self.upstream_request(id, class, script, now + remaining),
            response_sender,
        };
        self.messages
            .send(DriverMessage::Request(Box::new(incoming)))
            .await
            .expect("the driver runs");
        (id, response)
    }

    fn upstream_request(
        &self,
        id: RequestId,
        class: usize,
        script: &str,
        deadline: Duration,
    ) -> UpstreamRequest {
        let is_keyed = class == KEYED;
        let (method, name) = [
            (Method::GET, "read"),
            (Method::POST, "submit"),
            (Method::POST, "correct"),
        ][class]
            .clone();
        let path = format!("/{name}/{script}");
        let body = if class == IDEMPOTENT {
            Bytes::new()
        } else {
            self.body()
        };
        UpstreamRequest {
            method,
            path: path.parse::<PathAndQuery>().expect("a path"),
            call_id: HeaderValue::from(id.0),
            idempotency_key: is_keyed.then(|| HeaderValue::from(id.0)),
            body: RefCell::new(Some(body)),
            deadline,
            idempotency_window: is_keyed.then_some(Duration::from_secs(60)),
            first_sent_at: Cell::new(None),
        }
    }

    fn body(&self) -> Bytes {
        let lease = self.budget.lease(BODY_BYTES).expect("room for a body");
        lease.attach_to(Bytes::from(vec![b'.'; BODY_BYTES]))
    }

    /// Disconnects the client of a request.
    pub(super) async fn disconnect_client(&self, id: RequestId) {
        self.messages
            .send(DriverMessage::ClientDisconnected(id))
            .await
            .expect("the driver runs");
    }
}

/// Runs a test on a runtime whose time is virtual.
pub(super) fn in_virtual_time(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}
