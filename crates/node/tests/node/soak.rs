//! Restarts under load: clients send requests on open connections until the node is killed, as
//! early as the operators may kill it. Meanwhile endpoints fail in many ways, the node gets series
//! of signals, and in half of the runs there is a crowd of silent clients.

use crate::support::client::Client;
use crate::support::endpoint::{ScriptedEndpoint, ScriptedReply, ok, rejection, response};
use crate::support::message::Message;
use crate::support::process::NodeProcess;
use crate::support::settings::NodeSettings;
use crate::support::setup::NodeSetup;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

/// The longest deadline of the deployment, in milliseconds.
const DEADLINE_MS: u64 = 600;
/// SIGKILL comes no sooner after SIGTERM than the longest deadline and this.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// The number of seeds; each plays one run.
const SEEDS: u64 = 6;
/// The environment variable with the number of seeds of a longer run by hand.
const SEEDS_VARIABLE: &str = "SOAK_SEEDS";
const CLIENTS: u32 = 6;
/// The number of silent clients.
const CROWD: usize = 40;

/// How an endpoint replies to a request.
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
    /// Chooses a reply by a random number.
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

    /// Returns the reply to the request with this id.
    fn reply(self, id: &str) -> ScriptedReply {
        match self {
            ReplyKind::Served => ok(id),
            ReplyKind::Failed => response("500 Oops", "", b""),
            ReplyKind::Closed => ScriptedReply::CloseAfter(vec![]),
            ReplyKind::Reset => ScriptedReply::ResetAfter(b"HTTP/1.1 200 OK\r\n\r\nhalf".to_vec()),
            ReplyKind::Silent => ScriptedReply::NoResponse,
            ReplyKind::Rejected => rejection("503 Full"),
        }
    }

    /// Returns whether the request may have run, as far as the node can know.
    fn may_have_run(self) -> bool {
        self != ReplyKind::Rejected
    }
}

/// The replies of the endpoints to each request, by its id.
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
    /// `None` if the connection ended without a response.
    response: Option<Message>,
}

/// Starts an endpoint with random replies, which it records.
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

/// Starts a client that sends one request after another, on one connection while that stays open.
fn start_client(
    address: SocketAddr,
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
            let response = client.try_request(start, &headers, body);
            let has_ended = response.is_none() || client.has_ended();
            let waited = started.elapsed();
            sent.push(SentRequest {
                id,
                is_idempotent,
                after_termination,
                waited,
                response,
            });
            if has_ended {
                connection = Client::try_connect(address);
            }
        }
        sent
    })
}

/// Sends a series of signals, SIGTERM among them, and kills the node as early as operators may.
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

/// Checks what the clients of a run received against what the endpoints were sent.
struct RunCheck<'a> {
    seed: u64,
    attempts: &'a BTreeMap<String, Vec<ReplyKind>>,
    has_crowd: bool,
}

impl RunCheck<'_> {
    fn check(&self, request: &SentRequest) {
        match &request.response {
            None => self.check_without_response(request),
            Some(response) => self.check_response(request, response),
        }
        if !request.is_idempotent {
            self.check_not_repeated(request);
        }
    }

    /// Returns the replies of endpoints to a request, in their order.
    fn replies(&self, request: &SentRequest) -> &[ReplyKind] {
        self.attempts
            .get(&request.id)
            .map(Vec::as_slice)
            .unwrap_or_default()
    }

    /// A request may be left without a response only if it was not sent to an endpoint, and if its
    /// connection may have been closed.
    fn check_without_response(&self, request: &SentRequest) {
        let (seed, id, replies) = (self.seed, &request.id, self.replies(request));
        let when = (request.after_termination, request.waited);
        assert!(
            replies.is_empty(),
            "seed {seed}: {id}, {replies:?}, has no response: {when:?}"
        );
        let may_be_closed = self.has_crowd || request.after_termination.is_some();
        assert!(
            may_be_closed,
            "seed {seed}: {id} was closed with no response: {when:?}"
        );
    }

    /// A response belongs to its request, and sheds it only if a retry is safe.
    fn check_response(&self, request: &SentRequest, response: &Message) {
        let (seed, id) = (self.seed, &request.id);
        match response.status() {
            200 => assert_eq!(
                response.body,
                id.as_bytes(),
                "seed {seed}: the response of another request"
            ),
            429 | 503 => {
                let may_have_run = self
                    .replies(request)
                    .iter()
                    .any(|reply| reply.may_have_run());
                let is_safe = request.is_idempotent || !may_have_run;
                assert!(is_safe, "seed {seed}: {id} was shed and may have run");
            }
            _ => {}
        }
    }

    /// No attempt follows one in which the request may have run.
    fn check_not_repeated(&self, request: &SentRequest) {
        let replies = self.replies(request);
        let earlier = &replies[..replies.len().saturating_sub(1)];
        assert!(
            !earlier.iter().any(|reply| reply.may_have_run()),
            "seed {}: {} was sent twice",
            self.seed,
            request.id
        );
    }
}

/// Counts of requests over all runs.
#[derive(Debug, Default)]
struct Totals {
    sent: usize,
    /// Requests with a final response.
    finished: usize,
    /// Requests with the response of an endpoint.
    served: usize,
}

/// Plays a restart, checks its requests and adds them to the totals.
fn play(seed: u64, totals: &mut Totals) {
    let has_crowd = seed % 2 == 1;
    let attempts = Attempts::default();
    let endpoints = [0, 1, 2].map(|number| start_endpoint(seed, number, &attempts));
    let (mut node, _discovery) =
        NodeSetup::with_settings(NodeSettings::with_objective(DEADLINE_MS))
            .start(&endpoints.each_ref());
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
    let check = RunCheck {
        seed,
        attempts: &attempts.lock().expect("the attempts"),
        has_crowd,
    };
    requests.iter().for_each(|request| check.check(request));
    totals.sent += requests.len();
    let responses = || {
        requests
            .iter()
            .filter_map(|request| request.response.as_ref())
    };
    totals.finished += responses().count();
    totals.served += responses()
        .filter(|response| response.status() == 200)
        .count();
}

#[test]
fn restarts_under_load_lose_or_repeat_no_request() {
    let seeds = std::env::var(SEEDS_VARIABLE)
        .map_or(SEEDS, |text| text.parse().expect("a number of seeds"));
    let mut totals = Totals::default();
    (0..seeds).for_each(|seed| play(seed, &mut totals));
    println!("{seeds} seeds: {totals:?}");
    assert!(totals.served > 0, "no request was served");
}
