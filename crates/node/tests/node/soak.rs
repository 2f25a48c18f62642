//! Restarts under load: clients go on sending on open connections until the node is killed, as
//! early as it may be, while endpoints fail in many ways, signals come in series and, in half of
//! the runs, a crowd of silent clients stands by.

use crate::support::*;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, OnceLock};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

/// The longest deadline of the deployment, in milliseconds.
const DEADLINE_MS: u64 = 600;
/// SIGKILL comes no sooner after SIGTERM than the longest deadline and this.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
const SEEDS: u64 = 6;
/// Names another number of seeds, for a longer run by hand.
const SEEDS_VARIABLE: &str = "SOAK_SEEDS";
const CLIENTS: u32 = 6;
const CROWD: usize = 40;

/// How an endpoint replies; whether that proves that the request never ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReplyKind {
    Served,
    Failed,
    Closed,
    Reset,
    Silent,
    Rejected,
}

impl ReplyKind {
    fn of(draw: u32) -> Self {
        match draw % 48 {
            0 => ReplyKind::Failed,
            1 => ReplyKind::Closed,
            2 => ReplyKind::Reset,
            3 => ReplyKind::Silent,
            4 => ReplyKind::Rejected,
            _ => ReplyKind::Served,
        }
    }

    fn reply(self, id: &str) -> ScriptedReply {
        match self {
            ReplyKind::Served => ok(id),
            ReplyKind::Failed => ScriptedReply::Response("500 Oops", "", vec![]),
            ReplyKind::Closed => ScriptedReply::CloseAfter(vec![]),
            ReplyKind::Reset => ScriptedReply::ResetAfter(b"HTTP/1.1 200 OK\r\n\r\nhalf".to_vec()),
            ReplyKind::Silent => ScriptedReply::NoResponse,
            ReplyKind::Rejected => ScriptedReply::Response("503 Full", "X-Rejected: 1\r\n", vec![]),
        }
    }

    fn may_have_run(self) -> bool {
        self != ReplyKind::Rejected
    }
}

/// What the endpoints were sent for each request, and how they replied.
type Attempts = Arc<Mutex<BTreeMap<String, Vec<ReplyKind>>>>;

/// What a client knows of a request.
#[derive(Debug)]
struct SentRequest {
    id: String,
    is_idempotent: bool,
    /// How long after SIGTERM it was written; `None` if before.
    after_termination: Option<Duration>,
    /// How long its client waited.
    waited: Duration,
    /// Status and body; `None` if the connection ended without an answer.
    answer: Option<(u16, Vec<u8>)>,
}

fn start_endpoint(seed: u64, number: u64, attempts: &Attempts) -> ScriptedEndpoint {
    let random = Mutex::new(Pcg32::seed_from_u64(seed * 16 + number));
    let attempts = attempts.clone();
    ScriptedEndpoint::start(move |message| {
        let id = message.header("x-call-id").expect("an id").to_owned();
        let kind = ReplyKind::of(random.lock().expect("the random numbers").next_u32());
        attempts
            .lock()
            .expect("the attempts")
            .entry(id.clone())
            .or_default()
            .push(kind);
        kind.reply(&id)
    })
}

/// A client that sends one request after another, on one connection for as long as that stays open.
fn start_client(
    address: std::net::SocketAddr,
    name: String,
    terminated: Arc<OnceLock<Instant>>,
) -> JoinHandle<Vec<SentRequest>> {
    spawn(move || {
        let mut sent = Vec::new();
        let mut connection = Client::try_connect(address);
        while let Some(client) = &mut connection {
            let number = sent.len();
            let is_idempotent = number % 2 == 0;
            let id = format!("{name}{number:06x}");
            let headers =
                format!("X-Call-Id: {id}\r\nX-Caller: acme\r\nX-Budget-Ms: {DEADLINE_MS}\r\n");
            let after_termination = terminated.get().map(Instant::elapsed);
            let started = Instant::now();
            let (start, body) = if is_idempotent {
                ("GET /read/1f", &b""[..])
            } else {
                ("POST /correct/1f", &b"sheet"[..])
            };
            let answer = client.try_request(start, &headers, body);
            let answer = answer.map(|message| (message.status(), message.body));
            let has_ended = answer.is_none() || client.has_ended();
            let waited = started.elapsed();
            sent.push(SentRequest {
                id,
                is_idempotent,
                after_termination,
                waited,
                answer,
            });
            if has_ended {
                connection = Client::try_connect(address);
            }
        }
        sent
    })
}

/// Sends signals in series, SIGTERM among them, and kills the node as early as it may be.
fn restart(node: &mut NodeProcess, random: &mut Pcg32, terminated: &OnceLock<Instant>) {
    let mut pause =
        |max_ms: u32| sleep(Duration::from_millis(u64::from(random.next_u32() % max_ms)));
    pause(500);
    node.signal("-HUP");
    pause(10);
    node.signal("-HUP");
    pause(200);
    let terminated_at = *terminated.get_or_init(Instant::now);
    node.terminate();
    let kill_at = terminated_at + Duration::from_millis(DEADLINE_MS) + KILL_AFTER_DEADLINE;
    for signal in ["-HUP", "-TERM", "-HUP"] {
        pause(300);
        if !node.has_exited() {
            node.signal(signal);
        }
    }
    while Instant::now() < kill_at && !node.has_exited() {
        sleep(Duration::from_millis(2));
    }
    node.kill();
}

fn check(
    seed: u64,
    requests: &[SentRequest],
    attempts: &BTreeMap<String, Vec<ReplyKind>>,
    has_crowd: bool,
) {
    for request in requests {
        let id = &request.id;
        let replies = attempts.get(id).map(Vec::as_slice).unwrap_or_default();
        let may_have_run = replies.iter().any(|reply| reply.may_have_run());
        match &request.answer {
            None => {
                let when = (request.after_termination, request.waited);
                assert!(
                    replies.is_empty(),
                    "seed {seed}: {id}, {replies:?}, has no answer: {when:?}"
                );
                let may_be_closed = has_crowd || request.after_termination.is_some();
                assert!(
                    may_be_closed,
                    "seed {seed}: {id} was closed with no answer: {when:?}"
                );
            }
            Some((200, body)) => assert_eq!(
                body,
                id.as_bytes(),
                "seed {seed}: an answer of another request"
            ),
            Some((429 | 503, _)) => {
                let is_safe = request.is_idempotent || !may_have_run;
                assert!(is_safe, "seed {seed}: {id} was refused and may have run");
            }
            Some(_) => {}
        }
        if !request.is_idempotent {
            let earlier = &replies[..replies.len().saturating_sub(1)];
            assert!(
                !earlier.iter().any(|reply| reply.may_have_run()),
                "seed {seed}: {id} was sent twice"
            );
        }
    }
}

/// How many requests were sent, answered, and answered with what an endpoint made for them.
#[derive(Debug, Default)]
struct Totals {
    sent: usize,
    answered: usize,
    served: usize,
}

/// Plays a restart.
fn play(seed: u64, totals: &mut Totals) {
    let has_crowd = seed % 2 == 1;
    let attempts = Attempts::default();
    let endpoints = [0, 1, 2].map(|number| start_endpoint(seed, number, &attempts));
    let (mut node, _watch, _discovery) =
        start_node(&settings(DEADLINE_MS, ""), &endpoints.each_ref());
    let crowd: Vec<_> = (0..if has_crowd { CROWD } else { 0 })
        .map(|_| node.client())
        .collect();
    let terminated = Arc::new(OnceLock::new());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            start_client(
                node.address,
                format!("{seed:06x}{client:04x}"),
                terminated.clone(),
            )
        })
        .collect();
    restart(&mut node, &mut Pcg32::seed_from_u64(seed), &terminated);
    let requests: Vec<_> = clients
        .into_iter()
        .flat_map(|client| client.join().expect("a client"))
        .collect();
    drop(crowd);
    check(
        seed,
        &requests,
        &attempts.lock().expect("the attempts"),
        has_crowd,
    );
    totals.sent += requests.len();
    totals.answered += requests
        .iter()
        .filter(|request| request.answer.is_some())
        .count();
    totals.served += requests
        .iter()
        .filter(|request| matches!(request.answer, Some((200, _))))
        .count();
}

/// No request is lost, sent twice where it may have run, or given the response of another request.
#[test]
fn restarts_under_load_lose_or_repeat_no_request() {
    let seeds = std::env::var(SEEDS_VARIABLE)
        .map_or(SEEDS, |text| text.parse().expect("a number of seeds"));
    let mut totals = Totals::default();
    (0..seeds).for_each(|seed| play(seed, &mut totals));
    println!("{seeds} seeds: {totals:?}");
    assert!(totals.served > 0, "the clients got nothing at all");
}
