//! What a node holds for a request is gone once the request is finished, whatever event finished it. Time is the
//! runtime's own here, and moves on only when everything waits.

use super::*;
use crate::memory_budget::Budget;
use crate::message::{EndpointListUpdate, ForwardedRequest, ListedEndpoint};
use crate::request_table::Usage;
use bytes::Bytes;
use hyper::Method;
use hyper::header::HeaderValue;
use hyper::http::uri::PathAndQuery;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::sleep;

const BUDGET: usize = 4 << 20;
const BODY: usize = 512;
const TARGET: Duration = Duration::from_millis(200);
const DEADLINE: Duration = Duration::from_millis(400);
/// Longer than any deadline, time-out and rest.
const SETTLED: Duration = Duration::from_secs(5);

const READ: usize = 0;
const SUBMIT: usize = 1;
const CORRECT: usize = 2;

fn config(reports: &str, late_weight: f64) -> Config {
    let class = |name: &str, idempotency: &str| {
        format!(
            r#"{{"Name":"{name}","Target":200,"GiveUp":400,"Idempotency":"{idempotency}","Group":"cell",
            "Window":60000,"LateWorth":{late_weight}}}"#
        )
    };
    let classes =
        [class("read", "free"), class("submit", "guarded"), class("correct", "single_shot")].join(",");
    let text = format!(
        r#"{{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"7","settings":{{"Classes":[{classes}],
        "NInstances":2,"Quantum":1,"Rules":{{"DrainGrace":60000}},
        "LoadReport":{{"Columns":["concurrent","depth"],"Via":"{reports}"}},
        "Permissions":{{"AttemptsCap":3,"Cancel":true,"ParallelTries":true,"Probes":true,"RetryAfter":true,
        "MaxRetryAfter":500,"ConnectTimeout":100,"IdleClose":2000}}}}}}"#
    );
    Config::parse(&text).expect("a valid configuration")
}

/// A node, and what its front and discovery would hold.
struct Host {
    node: Dispatcher,
    inbox: mpsc::Receiver<Message>,
    front: Front,
}

struct Front {
    clock: Clock,
    messages: mpsc::Sender<Message>,
    budget: Budget,
    requests: Cell<u64>,
}

impl Host {
    fn start(config: &Config) -> Self {
        let clock = Clock::start();
        let (messages, inbox) = mpsc::channel(4096);
        let (orders, _) = mpsc::channel(16);
        let budget = Budget::new(BUDGET);
        let upstream = Upstream::start(clock, crate::upstream_options(config), budget.clone());
        let node = Dispatcher::new(clock, config, upstream, messages.clone(), orders);
        Host { node, inbox, front: Front { clock, messages, budget, requests: Cell::new(0) } }
    }

    /// Runs the node until `part` has ended.
    async fn run<T>(&mut self, part: impl AsyncFnOnce(&Front) -> T) -> T {
        tokio::select! {
            () = self.node.run(&mut self.inbox) => panic!("the node ended"),
            result = part(&self.front) => result,
        }
    }

    /// Requests, timers, and the bytes of the memory budget that are in use.
    fn usage(&self) -> (Usage, usize) {
        (self.node.requests.usage(), BUDGET - self.front.budget.free())
    }
}

impl Front {
    async fn list(&self, kind: ListKind, endpoints: Vec<ListedEndpoint>) {
        let sent = self.messages.send(Message::EndpointList(EndpointListUpdate { kind, endpoints })).await;
        sent.expect("the node runs");
        sleep(Duration::from_millis(1)).await; // it is taken in
    }

    /// A client's request; what it is about is the last part of its path.
    async fn request(
        &self,
        class: usize,
        about: &str,
        remaining: Duration,
    ) -> (RequestId, oneshot::Receiver<FinalAnswer>) {
        self.requests.set(self.requests.get() + 1);
        let id = RequestId(self.requests.get());
        let now = self.clock.now();
        let (method, name) =
            [(Method::GET, "read"), (Method::POST, "submit"), (Method::POST, "correct")][class].clone();
        let path = format!("/{name}/{about}").parse::<PathAndQuery>().expect("a path");
        let body = if class == READ { Bytes::new() } else { self.body() };
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
        let new = NewRequest { id, class, remaining, ..NewRequest::default() };
        let taken = Box::new(IncomingRequest { new, received: now, forward, reply });
        self.messages.send(Message::Request(taken)).await.expect("the node runs");
        (id, answer)
    }

    fn body(&self) -> Bytes {
        let room = self.budget.lease(BODY).expect("room for a body");
        room.keep(Bytes::from(vec![b'.'; BODY]))
    }

    async fn leave(&self, id: RequestId) {
        self.messages.send(Message::ClientDisconnected(id)).await.expect("the node runs");
    }
}

/// What a scripted backend does with a request, by what the request is about; `load` is what its probes say.
async fn serve(stream: TcpStream, load: &'static str) -> Option<()> {
    let (read, mut write) = stream.into_split();
    let mut lines = BufReader::new(read);
    loop {
        let mut start = String::new();
        lines.read_line(&mut start).await.ok().filter(|read| *read > 0)?;
        let mut length = 0;
        loop {
            let mut header = String::new();
            lines.read_line(&mut header).await.ok().filter(|read| *read > 0)?;
            if header.trim().is_empty() {
                break;
            }
            if let Some(value) = header.strip_prefix("content-length: ") {
                length = value.trim().parse().ok()?;
            }
        }
        lines.read_exact(&mut vec![0; length]).await.ok()?;
        let about = start.split(' ').nth(1)?.rsplit('/').next()?.to_owned();
        let answer = match about.as_str() {
            "stats" => format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{load}", load.len()),
            "error" => "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n".to_owned(),
            "reject" => "HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n".to_owned(),
            "garble" => "HTTP/1.1 noise\r\n\r\n".to_owned(),
            "reset" => return None,
            "silence" => continue,
            "slow" => {
                sleep(Duration::from_millis(30)).await;
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate".to_owned()
            }
            _ => "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".to_owned(),
        };
        write.write_all(answer.as_bytes()).await.ok()?;
    }
}

async fn backend(id: u64, load: &'static str) -> ListedEndpoint {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve(stream, load));
        }
    });
    listed(id, address)
}

fn listed(id: u64, address: SocketAddr) -> ListedEndpoint {
    let entry = EndpointEntry { id: EndpointId(id), state: EndpointState::Ready, ..EndpointEntry::default() };
    ListedEndpoint { entry, address }
}

fn in_virtual_time(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

fn is_refused(answer: &FinalAnswer) -> bool {
    matches!(answer, FinalAnswer::Shed(Some(after)) if *after == Duration::from_millis(500))
}

#[test]
fn a_request_refused_on_a_timer_leaves_nothing() {
    in_virtual_time(async {
        let mut host = Host::start(&config("pull", 0.0));
        host.run(async |front| front.list(ListKind::Snapshot, vec![]).await).await;
        let before = host.usage();
        let (_, held) = host
            .run(async |front| {
                let asked = front.request(SUBMIT, "ok", DEADLINE).await;
                sleep(TARGET / 2).await;
                asked
            })
            .await;
        assert_eq!(host.usage().0.requests, 1, "it waits for a server to be listed");
        assert_eq!(host.usage().1, BODY);
        let answer = host.run(async |_| held.await.expect("an answer")).await;
        assert!(is_refused(&answer), "{answer:?}");
        assert_eq!(host.usage(), before);
    });
}

#[test]
fn a_request_refused_on_the_result_of_a_probe_leaves_nothing() {
    in_virtual_time(async {
        let mut host = Host::start(&config("pull", 0.0));
        let crowded = backend(1, "inflight=50,queue=40").await;
        host.run(async |front| front.list(ListKind::Snapshot, vec![crowded]).await).await;
        let before = host.usage();
        let mut refused = 0;
        for _ in 0..20 {
            let answer = host
                .run(async |front| {
                    let (_, answer) = front.request(SUBMIT, "ok", DEADLINE).await;
                    answer.await.expect("an answer")
                })
                .await;
            refused += usize::from(is_refused(&answer));
            drop(answer);
            // What was served may have an attempt out that was called off.
            host.run(async |_| sleep(SETTLED).await).await;
            assert_eq!(host.usage(), before);
        }
        assert!(refused > 10, "a server that reports so much is not sent to: {refused} refused");
    });
}

#[test]
fn a_request_whose_only_server_leaves_the_list_leaves_nothing() {
    in_virtual_time(async {
        let mut host = Host::start(&config("pull", 0.0));
        // Nobody listens there, so a probe takes its time.
        let lost = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let endpoint = listed(1, lost.local_addr().expect("its address"));
        host.run(async |front| front.list(ListKind::Snapshot, vec![endpoint.clone()]).await).await;
        let before = host.usage();
        let (_, held) = host
            .run(async |front| {
                let asked = front.request(SUBMIT, "ok", DEADLINE).await;
                sleep(Duration::from_millis(1)).await;
                let mut gone = endpoint.clone();
                gone.entry.state = EndpointState::Removed;
                front.list(ListKind::Delta, vec![gone]).await;
                asked
            })
            .await;
        assert_eq!(host.usage().0.requests, 1, "it is held");
        let answer = host.run(async |_| held.await.expect("an answer")).await;
        assert!(is_refused(&answer), "{answer:?}");
        host.run(async |_| sleep(SETTLED).await).await;
        assert_eq!(host.usage(), before);
    });
}

/// The decision module may answer on any event: the table must not depend on which.
#[test]
fn a_request_answered_while_a_list_is_taken_in_leaves_nothing() {
    in_virtual_time(async {
        let mut host = Host::start(&config("pull", 0.0));
        host.run(async |front| front.list(ListKind::Snapshot, vec![]).await).await;
        let before = host.usage();
        for refuse in [true, false] {
            let (id, answer) = host
                .run(async |front| {
                    let asked = front.request(SUBMIT, "ok", DEADLINE).await;
                    sleep(Duration::from_millis(1)).await;
                    asked
                })
                .await;
            assert_eq!(host.usage().0.requests, 1, "it is held");
            host.node.take(Message::EndpointList(EndpointListUpdate {
                kind: ListKind::Snapshot,
                endpoints: vec![],
            }));
            let retry_after = None;
            let action = if refuse { Action::Shed { id, retry_after } } else { Action::Fail { id } };
            host.node.act(action);
            assert!(answer.await.is_ok());
            assert_eq!(host.usage(), before);
        }
    });
}

#[test]
fn a_request_unanswered_at_its_deadline_leaves_nothing() {
    in_virtual_time(async {
        // Late answers have worth, so that the deadline is what ends it.
        let mut host = Host::start(&config("piggyback", 0.5));
        let silent = backend(1, "").await;
        host.run(async |front| front.list(ListKind::Snapshot, vec![silent]).await).await;
        let before = host.usage();
        for class in [READ, SUBMIT, CORRECT] {
            let (_, answer) = host
                .run(async |front| {
                    let asked = front.request(class, "silence", DEADLINE).await;
                    sleep(DEADLINE / 2).await;
                    asked
                })
                .await;
            assert_eq!(host.usage().0.requests, 1, "it has an attempt out");
            let answer = host.run(async |_| answer.await.expect("an answer")).await;
            assert!(!matches!(answer, FinalAnswer::Served(_)), "{answer:?}");
            host.run(async |_| sleep(SETTLED).await).await;
            assert_eq!(host.usage(), before);
        }
    });
}

#[test]
fn a_body_gives_its_room_back_with_the_answer_though_an_attempt_is_still_out() {
    in_virtual_time(async {
        let mut host = Host::start(&config("piggyback", 0.5));
        let silent = backend(1, "").await;
        host.run(async |front| front.list(ListKind::Snapshot, vec![silent]).await).await;
        let (id, _answer) = host
            .run(async |front| {
                let asked = front.request(CORRECT, "silence", DEADLINE).await;
                sleep(DEADLINE / 2).await;
                asked
            })
            .await;
        assert_eq!(host.usage().1, BODY);
        // The table alone, so that the attempt is not called off at once.
        assert!(host.node.requests.abandon(id));
        let (usage, bytes) = host.usage();
        assert_eq!((usage.requests, bytes), (1, 0));
    });
}

/// One client's request in so many, and what becomes of it.
const ENDINGS: [(usize, &str, Option<Duration>); 16] = [
    (READ, "ok", None),
    (SUBMIT, "ok", None),
    (CORRECT, "ok", None),
    (READ, "slow", None),
    (SUBMIT, "slow", None),
    (CORRECT, "error", None),
    (READ, "error", None),
    (SUBMIT, "reset", None),
    (READ, "reject", None),
    (CORRECT, "garble", None),
    (READ, "silence", None),
    (CORRECT, "silence", None),
    // Their clients leave after so long.
    (SUBMIT, "slow", Some(Duration::ZERO)),
    (READ, "slow", Some(Duration::from_millis(10))),
    (CORRECT, "silence", Some(Duration::from_millis(50))),
    (SUBMIT, "ok", Some(Duration::from_millis(1))),
];

#[test]
fn after_two_hundred_thousand_requests_of_all_endings_nothing_is_left() {
    const ROUNDS: usize = 4_000;
    const REQUESTS_A_ROUND: usize = 50;
    const ROUND: Duration = Duration::from_millis(20);
    in_virtual_time(async {
        let mut host = Host::start(&config("pull", 0.5));
        let mut listed = Vec::new();
        for id in 1..=6 {
            listed.push(
                backend(id, if id % 3 == 0 { "inflight=9,queue=5" } else { "inflight=0,queue=0" }).await,
            );
        }
        host.run(async |front| front.list(ListKind::Snapshot, listed.clone()).await).await;
        let before = (host.usage(), host.node.balancer.table_sizes(), host.node.upstream.pool_usage());
        let endings: Rc<RefCell<BTreeMap<&str, usize>>> = Rc::default();
        host.run(async |front| {
            for round in 0..ROUNDS {
                // Now and then the list is empty, or names a part of the servers.
                match round % 400 {
                    100 => front.list(ListKind::Snapshot, vec![]).await,
                    130 => front.list(ListKind::Snapshot, listed.clone()).await,
                    200 => {
                        let mut draining = listed[0].clone();
                        draining.entry.state = EndpointState::Draining;
                        front.list(ListKind::Delta, vec![draining]).await;
                    }
                    250 => front.list(ListKind::Delta, listed[..1].to_vec()).await,
                    _ => {}
                }
                let mut leaving = Vec::new();
                for number in 0..REQUESTS_A_ROUND {
                    // Mostly ordinary ones, or every server would be ejected throughout.
                    let kind =
                        if number % 5 == 0 { (round + number / 5) % ENDINGS.len() } else { number % 3 };
                    let (class, about, leaves) = ENDINGS[kind];
                    let short = number % 7 == 6;
                    let remaining = if short { Duration::from_millis(number as u64) } else { DEADLINE };
                    let (id, answer) = front.request(class, about, remaining).await;
                    match leaves {
                        Some(after) => leaving.push((id, after, answer)),
                        None => drop(spawn_local(count(answer, endings.clone()))),
                    }
                }
                for (id, after, answer) in leaving {
                    sleep(after).await;
                    drop(answer);
                    front.leave(id).await;
                }
                if round % 40 == 20 {
                    front.messages.send(Message::Shutdown).await.expect("the node runs");
                }
                sleep(ROUND).await;
            }
            sleep(SETTLED).await;
        })
        .await;
        let endings = endings.borrow();
        for ending in ["served", "refused", "failed", "timed out"] {
            assert!(endings.get(ending).is_some_and(|count| *count > 100), "{ending}: {endings:?}");
        }
        assert_eq!(endings.get("never answered"), None);
        let after = (host.usage(), host.node.balancer.table_sizes(), host.node.upstream.pool_usage());
        assert_eq!(after, before);
    });
}

async fn count(answer: oneshot::Receiver<FinalAnswer>, endings: Rc<RefCell<BTreeMap<&'static str, usize>>>) {
    let ending = match answer.await {
        Ok(FinalAnswer::Served(_)) => "served",
        Ok(FinalAnswer::Shed(_)) => "refused",
        Ok(FinalAnswer::Failed) => "failed",
        Ok(FinalAnswer::TimedOut) => "timed out",
        Err(_) => "never answered",
    };
    *endings.borrow_mut().entry(ending).or_default() += 1;
}
