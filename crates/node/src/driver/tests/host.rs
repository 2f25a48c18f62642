//! A driver under test with the parts around it, in virtual time.

use super::super::*;
use crate::config::Config;
use crate::memory_budget::Budget;
use crate::message::{ForwardedRequest, ListedEndpoint};
use crate::request_table::Usage;
use bytes::Bytes;
use hyper::Method;
use hyper::header::HeaderValue;
use hyper::http::uri::PathAndQuery;
use std::cell::{Cell, RefCell};
use tokio::task::LocalSet;
use tokio::time::sleep;

const BUDGET: usize = 4 << 20;
pub const BODY: usize = 512;
pub const TARGET: Duration = Duration::from_millis(200);
pub const DEADLINE: Duration = Duration::from_millis(400);
/// Longer than any deadline, timeout and rest of a connection.
pub const SETTLED: Duration = Duration::from_secs(5);

pub const READ: usize = 0;
pub const SUBMIT: usize = 1;
pub const CORRECT: usize = 2;

pub fn config(reports: &str, late_weight: f64) -> Config {
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
        "LoadReport":{{"Columns":["concurrent","depth"],"Via":"{reports}"}},
        "Permissions":{{"AttemptsCap":3,"Cancel":true,"ParallelTries":true,"Probes":true,"RetryAfter":true,
        "MaxRetryAfter":500,"ConnectTimeout":100,"IdleClose":2000}}}}}}"#
    );
    Config::parse(&text).expect("a valid configuration")
}

/// A driver under test, and the parts around it.
pub struct Host {
    pub driver: Driver,
    inbox: mpsc::Receiver<Message>,
    peers: Peers,
}

/// Sends what the downstream side and discovery would send.
pub struct Peers {
    clock: Clock,
    pub messages: mpsc::Sender<Message>,
    budget: Budget,
    last_id: Cell<u64>,
}

impl Host {
    pub fn start(config: &Config) -> Self {
        let clock = Clock::start();
        let (messages, inbox) = mpsc::channel(4096);
        let (discovery, _) = mpsc::channel(16);
        let budget = Budget::new(BUDGET);
        let upstream = Upstream::start(
            clock,
            crate::startup::upstream_options(config),
            budget.clone(),
        );
        let options = crate::startup::driver_options(config);
        let driver = Driver::new(clock, options, upstream, messages.clone(), discovery);
        Host {
            driver,
            inbox,
            peers: Peers {
                clock,
                messages,
                budget,
                last_id: Cell::new(0),
            },
        }
    }

    /// Runs the driver until `scenario` has ended.
    pub async fn run<T>(&mut self, scenario: impl AsyncFnOnce(&Peers) -> T) -> T {
        tokio::select! {
            () = self.driver.run(&mut self.inbox) => panic!("the node ended"),
            result = scenario(&self.peers) => result,
        }
    }

    /// Sends a request, and lets so much time pass.
    pub async fn request_and_advance(
        &mut self,
        class: usize,
        script: &str,
        time: Duration,
    ) -> (RequestId, oneshot::Receiver<FinalResponse>) {
        self.run(async |peers| {
            let request = peers.request(class, script, DEADLINE).await;
            sleep(time).await;
            request
        })
        .await
    }

    /// What every table of the node holds: the driver's, the balancer's and the pool's.
    pub fn all_usage(&self) -> ((Usage, usize), TableSizes, crate::upstream::pool::PoolUsage) {
        let balancer = self.driver.balancer.table_sizes();
        (self.usage(), balancer, self.driver.upstream.pool_usage())
    }

    /// Requests, timers, and the bytes of the memory budget that are in use.
    pub fn usage(&self) -> (Usage, usize) {
        (
            self.driver.requests.usage(),
            BUDGET - self.peers.budget.free(),
        )
    }
}

impl Peers {
    /// Sends an update of the endpoint list, and waits until it has been handled.
    pub async fn list(&self, kind: ListKind, endpoints: Vec<ListedEndpoint>) {
        let sent = self
            .messages
            .send(Message::EndpointList(EndpointListUpdate {
                kind,
                endpoints,
            }))
            .await;
        sent.expect("the node runs");
        sleep(Duration::from_millis(1)).await;
    }

    /// Sends a client's request; `script` is what the endpoint does with it.
    pub async fn request(
        &self,
        class: usize,
        script: &str,
        remaining: Duration,
    ) -> (RequestId, oneshot::Receiver<FinalResponse>) {
        self.last_id.set(self.last_id.get() + 1);
        let id = RequestId(self.last_id.get());
        let now = self.clock.now();
        let (method, name) = [
            (Method::GET, "read"),
            (Method::POST, "submit"),
            (Method::POST, "correct"),
        ][class]
            .clone();
        let path = format!("/{name}/{script}")
            .parse::<PathAndQuery>()
            .expect("a path");
        let body = if class == READ {
            Bytes::new()
        } else {
            self.body()
        };
        let forward = ForwardedRequest {
            method,
            path,
            call_id: HeaderValue::from(id.0),
            idempotency_key: (class == SUBMIT).then(|| HeaderValue::from(id.0)),
            body: RefCell::new(Some(body)),
            deadline: now + remaining,
            idempotency_window: (class == SUBMIT).then_some(Duration::from_secs(60)),
            first_byte: Cell::new(None),
        };
        let (reply, answer) = oneshot::channel();
        let request = NewRequest {
            id,
            class,
            remaining,
            ..NewRequest::default()
        };
        let incoming = Box::new(IncomingRequest {
            request,
            received: now,
            forward,
            reply,
        });
        self.messages
            .send(Message::Request(incoming))
            .await
            .expect("the node runs");
        (id, answer)
    }

    fn body(&self) -> Bytes {
        let lease = self.budget.lease(BODY).expect("room for a body");
        lease.keep(Bytes::from(vec![b'.'; BODY]))
    }

    pub async fn disconnect(&self, id: RequestId) {
        self.messages
            .send(Message::ClientDisconnected(id))
            .await
            .expect("the node runs");
    }
}

pub fn in_virtual_time(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}
