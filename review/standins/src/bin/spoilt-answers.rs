//! Case: a part of the endpoints' answers never ends, and comes in small chunks. Does the node stay
//! within its memory limit?

use review_standins::client::{Call, Connection};
use review_standins::http::{Message, read_message};
use review_standins::node::Node;
use review_standins::random::Random;
use review_standins::record::Record;
use review_standins::{discovery, settings, trouble};
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const ENDPOINTS: usize = 12;
const CLIENTS: u64 = 110;
const MEAN_REST: f64 = 0.45;
const SOCKETS: u32 = 1024;
/// The least memory that a scored day gives a node, in units of 2^20 bytes.
const MEMORY_MB: u32 = 32;
/// The share of spoilt answers.
const SPOILT_SHARE: f64 = 0.05;
/// The length of the part of a spoilt answer that comes at once, in bytes: less than the 64 KiB
/// that a body may hold.
const SPOILT_BYTES: usize = 60_000;
const RUN_TIME: Duration = Duration::from_secs(25);
const GRACE: Duration = Duration::from_millis(550);

#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    lost: AtomicU64,
    spoilt: AtomicU64,
    run: AtomicU64,
}

struct World {
    counts: Counts,
    record: Record,
    trouble: bool,
    /// Set when the run is over: the time has passed, or the node was killed.
    over: AtomicBool,
    killed: AtomicBool,
}

fn main() {
    let world = Arc::new(World {
        counts: Counts::default(),
        record: Record::create(),
        trouble: trouble(),
        over: AtomicBool::new(false),
        killed: AtomicBool::new(false),
    });
    let record = &world.record;
    record.say(format_args!("answers that never end: {}", if world.trouble { "on" } else { "off" }));
    let entries: Vec<String> = (0..ENDPOINTS)
        .map(|i| {
            let address = start_endpoint(i as u64, &world);
            discovery::entry(&format!("s-{i}"), address, "salon-a", "orta", i as u32 / 6)
        })
        .collect();
    let list = discovery::whole_list(41, &entries);
    let discovery = discovery::start(list.clone());
    let mut node = Node::start("n0", discovery, SOCKETS, MEMORY_MB, &list, settings::QUITO);
    let address = node.address;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let world = world.clone();
            spawn(move || run_client(number, address, &world))
        })
        .collect();
    let peak_kib = watch_memory(&mut node, &world);
    let ended = !node.is_running() && !world.killed.load(Ordering::SeqCst);
    world.over.store(true, Ordering::SeqCst);
    let killed = world.killed.load(Ordering::SeqCst);
    for client in clients {
        client.join().expect("a client should not panic");
    }
    drop(node);
    let count = |count: &AtomicU64| count.load(Ordering::SeqCst);
    let counts = &world.counts;
    record.say(format_args!(
        "requests sent {}, served {}, refused {}, failed {}, lost {}; run at endpoints {}, answers spoilt {}",
        count(&counts.sent), count(&counts.served), count(&counts.refused), count(&counts.failed),
        count(&counts.lost), count(&counts.run), count(&counts.spoilt)
    ));
    record.say(format_args!(
        "peak of the node's anonymous memory {peak_kib} KiB, limit {} KiB{}",
        MEMORY_MB * 1024,
        if killed { ": KILLED FOR MEMORY" } else { "" }
    ));
    record.flush();
    if count(&counts.served) == 0 {
        record.say("the case could not run");
        record.flush();
        std::process::exit(2);
    }
    if ended {
        record.say("THE NODE ENDED BY ITSELF");
        record.flush();
    }
    std::process::exit(i32::from(ended || killed));
}

/// Watches the node's memory, as the platform does: over the limit, the node is killed. Counts only
/// anonymous memory, not the pages of the program's file. Returns the peak in KiB.
fn watch_memory(node: &mut Node, world: &World) -> u64 {
    let end = Instant::now() + RUN_TIME;
    let mut peak = 0;
    let mut next_line = Instant::now();
    while Instant::now() < end && node.is_running() {
        let used = node.anonymous_kib().unwrap_or(0);
        peak = peak.max(used);
        if Instant::now() >= next_line {
            world.record.line(format_args!("the node has {used} KiB of anonymous memory"));
            next_line += Duration::from_millis(500);
        }
        if used > u64::from(MEMORY_MB) * 1024 {
            world.killed.store(true, Ordering::SeqCst);
            world.record.line(format_args!("the node has {used} KiB of anonymous memory: the platform kills it"));
            node.kill();
            break;
        }
        sleep(Duration::from_millis(5));
    }
    peak
}

/// Starts an endpoint with several cores, and returns its address.
fn start_endpoint(number: u64, world: &Arc<World>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
    let address = listener.local_addr().expect("an address");
    let world = world.clone();
    spawn(move || {
        for (connection, stream) in listener.incoming().flatten().enumerate() {
            let world = world.clone();
            let seed = 1 + number * 100_003 + connection as u64;
            spawn(move || serve(number, stream, seed, &world));
        }
    });
    address
}

fn serve(number: u64, mut stream: TcpStream, seed: u64, world: &World) {
    let _ = stream.set_nodelay(true);
    let Ok(clone) = stream.try_clone() else { return };
    let mut reader = BufReader::new(clone);
    let mut random = Random::new(seed);
    while let Ok(Some(request)) = read_message(&mut reader) {
        let id = request.call_id().to_string();
        sleep(work(&request, &mut random));
        world.counts.run.fetch_add(1, Ordering::SeqCst);
        if world.trouble && random.uniform() < SPOILT_SHARE {
            world.counts.spoilt.fetch_add(1, Ordering::SeqCst);
            world.record.line(format_args!("s-{number} has run {id}; its answer never ends"));
            return send_endless_answer(&mut stream);
        }
        world.record.line(format_args!("s-{number} has run {id}"));
        let body = format!("made for {id}");
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Sends an answer in chunks of one byte that keeps on coming until the node ends the connection.
fn send_endless_answer(stream: &mut TcpStream) {
    const CHUNK: &[u8] = b"1\r\ny\r\n";
    let mut bytes = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    bytes.extend(CHUNK.repeat(SPOILT_BYTES));
    if stream.write_all(&bytes).is_err() {
        return;
    }
    for _ in 0..400 {
        sleep(Duration::from_millis(50));
        if stream.write_all(CHUNK).is_err() {
            return;
        }
    }
}

/// Returns the time that a request takes, within the bounds of the site file.
fn work(request: &Message, random: &mut Random) -> Duration {
    let path = request.path();
    let (low, high) = match path.split('/').nth(1) {
        Some("precio") => (25.0, 40.0),
        Some("reserva") => (50.0, 80.0),
        Some("cobro") => (80.0, 130.0),
        _ => (150.0, 220.0),
    };
    Duration::from_secs_f64(random.between(low, high) / 1000.0)
}

fn run_client(number: u64, address: SocketAddr, world: &World) {
    let mut random = Random::new(3000 + number);
    let mut connection = None;
    sleep(Duration::from_secs_f64(random.uniform() * MEAN_REST));
    while !world.over.load(Ordering::SeqCst) {
        let draw = random.uniform();
        let (call, budget) = if draw < 0.47 {
            (Call::get("precio", 700), 700)
        } else if draw < 0.70 {
            (Call::post("reserva", 1500), 1500)
        } else if draw < 0.92 {
            (Call::post_without_key("cobro", 3000), 3000)
        } else {
            (Call::get("informe", 6000), 6000)
        };
        exchange(&call, Duration::from_millis(budget), address, &mut connection, world);
        let rest = -(1.0 - random.uniform()).ln() * MEAN_REST;
        sleep(Duration::from_secs_f64(rest.min(1.9)));
    }
}

fn exchange(call: &Call, budget: Duration, address: SocketAddr, connection: &mut Option<Connection>, world: &World) {
    let killed = || world.killed.load(Ordering::SeqCst);
    let mut stream = match connection.take() {
        Some(stream) => stream,
        None => match Connection::open(address, budget + GRACE) {
            Ok(stream) => stream,
            Err(_) => return sleep(Duration::from_millis(20)),
        },
    };
    stream.set_patience(budget + GRACE);
    let sent_at = Instant::now();
    world.counts.sent.fetch_add(1, Ordering::SeqCst);
    let answer = stream.send(&call.bytes).and_then(|()| stream.receive());
    let (counter, text) = match &answer {
        Err(_) if killed() => (&world.counts.lost, "lost: the node was killed".to_string()),
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            (&world.counts.lost, "lost: no answer".to_string())
        }
        Err(error) => (&world.counts.lost, format!("lost: {error}")),
        Ok(answer) => match answer.status() {
            200 => (&world.counts.served, "served".to_string()),
            429 | 503 => (&world.counts.refused, "refused".to_string()),
            status => (&world.counts.failed, format!("failed: {status}")),
        },
    };
    counter.fetch_add(1, Ordering::SeqCst);
    world.record.line(format_args!(
        "client {} {}: {text} after {:.0} ms",
        call.class,
        call.id,
        sent_at.elapsed().as_secs_f64() * 1000.0
    ));
    if answer.is_ok_and(|answer| answer.header("connection") != Some("close")) {
        *connection = Some(stream);
    }
}
