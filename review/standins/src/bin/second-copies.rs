//! Case: endpoints send some of their answers twice. Does each client get the answer made for its
//! request?

use review_standins::client::{Call, Connection};
use review_standins::endpoint::{Copies, Endpoint, is_made_for};
use review_standins::node::Node;
use review_standins::random::Random;
use review_standins::record::Record;
use review_standins::{discovery, proxy, settings, trouble};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const ENDPOINTS: usize = 12;
const CLIENTS: u64 = 30;
const RUN_TIME: Duration = Duration::from_secs(20);
const BUDGET_MS: u64 = 630;
/// One way, the upper end of `same_ms` in the site file.
const NETWORK_DELAY: Duration = Duration::from_micros(200);
const COPIES: Copies = Copies { share: 0.1, after_ms: (0.0, 4.0) };

#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    served: AtomicU64,
    foreign: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    unanswered: AtomicU64,
}

fn main() {
    let record = Arc::new(Record::create());
    let trouble = trouble();
    record.say(format_args!("second copies: {}", if trouble { "on" } else { "off" }));
    let endpoints: Vec<Endpoint> = (0..ENDPOINTS)
        .map(|i| {
            let copies = trouble.then_some(COPIES);
            Endpoint::start(&format!("s-{i}"), i as u64 + 1, (55.0, 83.0), copies, record.clone())
        })
        .collect();
    let entries: Vec<String> = endpoints
        .iter()
        .enumerate()
        .map(|(i, endpoint)| {
            let address = proxy::start(endpoint.address, NETWORK_DELAY);
            discovery::entry(&endpoint.name, address, "bog-1", "std-b", i as u32 / 6)
        })
        .collect();
    let list = discovery::whole_list(41, &entries);
    let discovery = discovery::start(list.clone());
    let mut node = Node::start("n0", discovery, 1024, 192, &list, settings::BOGOTA);
    let counts = Arc::new(Counts::default());
    let end = Instant::now() + RUN_TIME;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|i| {
            let (record, counts, address) = (record.clone(), counts.clone(), node.address);
            spawn(move || run_client(i, address, end, &counts, &record))
        })
        .collect();
    for client in clients {
        client.join().expect("a client should not panic");
    }
    let is_running = node.is_running();
    drop(node);
    let [run, probes, copies, withheld] = endpoints.iter().map(Endpoint::counts).fold([0; 4], |sum, counts| {
        std::array::from_fn(|i| sum[i] + counts[i])
    });
    let count = |count: &AtomicU64| count.load(Ordering::SeqCst);
    record.say(format_args!(
        "requests sent {}, served with their own answer {}, served with a foreign answer {}, refused {}, failed {}, unanswered {}",
        count(&counts.sent), count(&counts.served), count(&counts.foreign), count(&counts.refused),
        count(&counts.failed), count(&counts.unanswered)
    ));
    record.say(format_args!(
        "endpoints: requests run {run}, probes answered {probes}, second copies sent {copies}, not sent because something was waiting {withheld}"
    ));
    record.flush();
    if !is_running || count(&counts.served) == 0 || probes == 0 {
        record.say("the case could not run");
        record.flush();
        std::process::exit(2);
    }
    std::process::exit(i32::from(count(&counts.foreign) > 0));
}

/// Sends requests one after the other on one connection.
fn run_client(number: u64, address: SocketAddr, end: Instant, counts: &Counts, record: &Record) {
    let mut random = Random::new(1000 + number);
    let mut connection = None;
    sleep(Duration::from_secs_f64(random.uniform() * 0.3));
    while Instant::now() < end {
        let draw = random.uniform();
        let call = if draw < 0.4 {
            Call::get("issue-read", BUDGET_MS)
        } else if draw < 0.77 {
            Call::post("event-ingest", BUDGET_MS)
        } else {
            Call::post("issue-update", BUDGET_MS)
        };
        exchange(&call, &mut connection, address, counts, record);
        sleep(Duration::from_secs_f64(-(1.0 - random.uniform()).ln() * 0.24));
    }
}

fn exchange(call: &Call, connection: &mut Option<Connection>, address: SocketAddr, counts: &Counts, record: &Record) {
    let patience = Duration::from_millis(BUDGET_MS + 500 + 50);
    let mut stream = match connection.take() {
        Some(stream) => stream,
        None => match Connection::open(address, patience) {
            Ok(stream) => stream,
            Err(error) => return record.line(format_args!("client cannot connect: {error}")),
        },
    };
    counts.sent.fetch_add(1, Ordering::SeqCst);
    let answer = stream.send(&call.bytes).and_then(|()| stream.receive());
    let (counter, text) = match &answer {
        Err(error) => (&counts.unanswered, format!("unanswered: {error}")),
        Ok(answer) => match answer.status() {
            200 if is_made_for(&answer.body, &call.id) => (&counts.served, "served".to_string()),
            200 => (
                &counts.foreign,
                format!("SERVED WITH A FOREIGN ANSWER: {:?}", String::from_utf8_lossy(&answer.body)),
            ),
            429 | 503 => (&counts.refused, "refused".to_string()),
            status => (&counts.failed, format!("failed: {status}")),
        },
    };
    counter.fetch_add(1, Ordering::SeqCst);
    record.line(format_args!("client {} {}: {text}", call.class, call.id));
    if answer.is_ok_and(|answer| answer.header("connection") != Some("close")) {
        *connection = Some(stream);
    }
}
