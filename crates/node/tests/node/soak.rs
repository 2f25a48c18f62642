//! Restarts under load. Clients send requests on persistent connections until the node is killed,
//! which happens as early as operators may do it. Meanwhile endpoints fail in several ways and the
//! node receives several signals. In half of the runs, idle clients hold connections too.

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
/// After SIGTERM, operators wait for the longest deadline plus this time before they send SIGKILL.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// The default number of runs, each with its own seed.
const DEFAULT_SEEDS: u64 = 6;
/// The environment variable that sets another number of runs, for longer tests by hand.
const SEEDS_VARIABLE: &str = "SOAK_SEEDS";
/// The number of clients that send requests.
const CLIENTS: u32 = 6;
/// The number of clients that connect and send nothing, in every second run.
const SILENT_CLIENTS: usize = 40;

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
    /// Chooses a reply from a random number.
    fn from_random(number: u32) -> Self {
        match number % 48 {
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

    /// Returns whether the node must assume that the request has run.
    fn may_have_run(self) -> bool {
        self != ReplyKind::Rejected
    }
}

/// The replies of the endpoints to each request, by call id.
type Attempts = Arc<Mutex<BTreeMap<String, Vec<ReplyKind>>>>;

/// A request as recorded by its client.
#[derive(Debug)]
struct SentRequest {
    id: String,
    is_idempotent: bool,
    /// The time since SIGTERM, read just before the request is sent. `None` if SIGTERM had not been
    /// sent by then.
    after_termination: Option<Duration>,
    /// How long the client waited for the response.
    waited: Duration,
    /// The response. `None` if the connection ended without one.
    response: Option<Message>,
}

/// Starts an endpoint that replies at random and records its replies.
fn start_endpoint(seed: u64, number: u64, attempts: &Attempts) -> ScriptedEndpoint {
    let random = Mutex::new(Pcg32::seed_from_u64(seed * 16 + number));
    let attempts = attempts.clone();
    ScriptedEndpoint::start(move |message| {
        let id = message
            .header("x-call-id")
            .expect("request should have a call id")
            .to_owned();
        let kind = ReplyKind::from_random(
            random
                .lock()
                .expect("generator should not be poisoned")
                .next_u32(),
        );
        attempts
            .lock()
            .expect("attempts should not be poisoned")
            .entry(id.clone())
            .or_default()
            .push(kind);
        kind.reply(&id)
    })
}

/// Starts a client that sends one request after another. It reconnects when its connection has
/// ended, and stops when it cannot.
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
            let (method_and_target, body) = if is_idempotent {
                ("GET /read/1f", &b""[..])
            } else {
                ("POST /correct/1f", &b"sheet"[..])
            };
            let response = client.try_request(method_and_target, &headers, body);
            let has_ended = response.is_none() || client.is_ended_now();
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

/// Sends several signals to the node, among them SIGTERM, and kills it as early as operators may.
fn signal_and_kill(node: &mut NodeProcess, random: &mut Pcg32, terminated: &OnceLock<Instant>) {
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

/// Checks the responses that the clients of a run received against the replies of the endpoints.
struct RunCheck<'a> {
    seed: u64,
    attempts: &'a BTreeMap<String, Vec<ReplyKind>>,
    has_silent_clients: bool,
}

impl RunCheck<'_> {
    /// Checks one request.
    fn check(&self, request: &SentRequest) {
        match &request.response {
            None => self.check_without_response(request),
            Some(response) => self.check_response(request, response),
        }
        if !request.is_idempotent {
            self.check_not_repeated(request);
        }
    }

    /// Returns the replies of the endpoints to a request, in order.
    fn replies(&self, request: &SentRequest) -> &[ReplyKind] {
        self.attempts
            .get(&request.id)
            .map(Vec::as_slice)
            .unwrap_or_default()
    }

    /// A request may get no response only if no endpoint received it and the node may have closed
    /// its connection: after SIGTERM, or to evict it for one of the silent clients.
    fn check_without_response(&self, request: &SentRequest) {
        let (seed, id, replies) = (self.seed, &request.id, self.replies(request));
        let timing = (request.after_termination, request.waited);
        assert!(
            replies.is_empty(),
            "seed {seed}: request {id} was sent to endpoints ({replies:?}) but got no response; \
             (after SIGTERM, waited): {timing:?}"
        );
        let may_be_closed = self.has_silent_clients || request.after_termination.is_some();
        assert!(
            may_be_closed,
            "seed {seed}: connection of request {id} was closed without a response; \
             (after SIGTERM, waited): {timing:?}"
        );
    }

    /// A response must belong to its request, and may shed it only if a retry is safe.
    fn check_response(&self, request: &SentRequest, response: &Message) {
        let (seed, id) = (self.seed, &request.id);
        match response.status() {
            200 => assert_eq!(
                response.body,
                id.as_bytes(),
                "seed {seed}: request {id} got the response of another request"
            ),
            429 | 503 => {
                let may_have_run = self
                    .replies(request)
                    .iter()
                    .any(|reply| reply.may_have_run());
                let is_safe = request.is_idempotent || !may_have_run;
                assert!(
                    is_safe,
                    "seed {seed}: request {id} was shed but may have run"
                );
            }
            _ => {}
        }
    }

    /// A request that is not idempotent must not be sent again after an attempt in which it may
    /// have run.
    fn check_not_repeated(&self, request: &SentRequest) {
        let replies = self.replies(request);
        let earlier = &replies[..replies.len().saturating_sub(1)];
        assert!(
            !earlier.iter().any(|reply| reply.may_have_run()),
            "seed {}: request {} was sent again after it may have run",
            self.seed,
            request.id
        );
    }
}

/// The counts of requests in all runs.
#[derive(Debug, Default)]
struct Totals {
    sent: usize,
    /// Requests with a response of any status.
    finished: usize,
    /// Requests with a response of status 200.
    served: usize,
}

/// Runs one restart, checks its requests and adds them to the totals.
fn run_restart(seed: u64, totals: &mut Totals) {
    let has_silent_clients = seed % 2 == 1;
    let attempts = Attempts::default();
    let endpoints = [0, 1, 2].map(|number| start_endpoint(seed, number, &attempts));
    let (mut node, _discovery) =
        NodeSetup::with_settings(NodeSettings::with_objective(DEADLINE_MS))
            .start(&endpoints.each_ref());
    let silent_count = if has_silent_clients {
        SILENT_CLIENTS
    } else {
        0
    };
    let silent_clients: Vec<_> = (0..silent_count).map(|_| node.client()).collect();
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
    signal_and_kill(&mut node, &mut Pcg32::seed_from_u64(seed), &terminated);
    let requests: Vec<_> = clients
        .into_iter()
        .flat_map(|client| client.join().expect("client should not panic"))
        .collect();
    drop(silent_clients);
    let check = RunCheck {
        seed,
        attempts: &attempts.lock().expect("attempts should not be poisoned"),
        has_silent_clients,
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
    let seeds = std::env::var(SEEDS_VARIABLE).map_or(DEFAULT_SEEDS, |text| {
        text.parse().expect("SOAK_SEEDS should be a number")
    });
    let mut totals = Totals::default();
    (0..seeds).for_each(|seed| run_restart(seed, &mut totals));
    println!("{seeds} seeds: {totals:?}");
    assert!(totals.served > 0, "no request was served");
}
