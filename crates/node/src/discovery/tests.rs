//! However a call to discovery failed, the next list has arrived within 6 s of discovery being
//! reachable. Time is the runtime's own here, and advances only when everything waits.

use super::*;
use crate::clock::Clock;
use crate::config::Config;
use crate::driver::Driver;
use crate::memory_budget::Budget;
use crate::upstream::Upstream;
use ottertiller_balancer::settings::millis;
use std::cell::RefCell;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

/// What the kernel may take to hand on what one side wrote, in real time.
const KERNEL: Duration = Duration::from_millis(1);
const LIST_DEADLINE: Duration = Duration::from_secs(6);
/// Discovery works through the calls of all nodes one after the other.
const BUSY: Duration = Duration::from_millis(400);
const LISTED: &str = "{\"index\":8,\"snapshot\":true,\"endpoints\":[]}\n";

/// How discovery fails until it can be reached.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
    Refused,
    Answered503,
    Reset,
    Stalled,
    /// Half of the list, and then nothing.
    TruncatedList,
    /// A complete list, and then nothing: the watch falls silent.
    SilentWatch,
    /// The headers late, and then a list of which a byte comes from time to time, and which never
    /// gets whole.
    DrippingList,
    /// A complete list, and then a change that never gets whole.
    DrippingChange,
}

const FAILURES: [Failure; 8] = [
    Failure::Refused,
    Failure::Answered503,
    Failure::Reset,
    Failure::Stalled,
    Failure::TruncatedList,
    Failure::SilentWatch,
    Failure::DrippingList,
    Failure::DrippingChange,
];

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn config(address: SocketAddr, mode: &str, poll_interval: u64, seed: u64) -> Config {
    let text = format!(
        r#"{{"listen":"127.0.0.1:0","discovery":"{address}","seed":"{seed:x}",
        "known":{{"index":7,"snapshot":true,"endpoints":[]}},
        "settings":{{"RegistryMode":"{mode}","Quantum":1,
        "Classes":[{{"Name":"read","Target":250,"GiveUp":630,"Idempotency":"free"}}],
        "Rules":{{"DrainGrace":60000,"MustAskIn":{poll_interval}}}}}}}"#
    );
    Config::parse(&text).expect("good")
}

/// Sends the start of a response after a delay, and then a list byte by byte, for as long as it is
/// read but for half a minute at the most.
async fn drip(mut stream: TcpStream, start: &str, delay: Duration) {
    sleep(delay).await;
    let mut sent = stream.write_all(start.as_bytes()).await;
    for _ in 0..30 {
        sleep(Duration::from_secs(1)).await;
        sent = sent.and(stream.write_all(chunk("{").as_bytes()).await);
        if sent.is_err() {
            return;
        }
    }
}

/// Calls that come before `reachable` fail, later ones get the list: returns when the first has.
async fn run_discovery(socket: TcpSocket, failure: Failure, reachable: Instant) -> Instant {
    let open = RefCell::new(Vec::new()); // what is stalled stays open
    if failure == Failure::Refused {
        tokio::time::sleep_until(reachable).await; // a port that is bound and not listened on
    }
    let listener = socket.listen(1024).expect("a port that is bound");
    loop {
        let (mut stream, _) = listener.accept().await.expect("a call");
        let mut read = [0; 1024];
        assert!(stream.read(&mut read).await.expect("a head") > 0);
        let response = if Instant::now() >= reachable {
            sleep(BUSY).await;
            stream
                .write_all(format!("{HEAD}{}", chunk(LISTED)).as_bytes())
                .await
                .expect("a node");
            return Instant::now();
        } else {
            match failure {
                Failure::Answered503 => "HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n".to_owned(),
                Failure::TruncatedList => format!("{HEAD}{}", chunk(&LISTED[..20])),
                Failure::SilentWatch => format!("{HEAD}{}", chunk(LISTED)),
                Failure::DrippingList => {
                    spawn_local(drip(stream, HEAD, Duration::from_millis(3800)));
                    continue;
                }
                Failure::DrippingChange => {
                    spawn_local(async move {
                        drip(stream, &(HEAD.to_owned() + &chunk(LISTED)), Duration::ZERO).await
                    });
                    continue;
                }
                Failure::Refused | Failure::Reset | Failure::Stalled => String::new(),
            }
        };
        stream.write_all(response.as_bytes()).await.expect("a node");
        if failure != Failure::Reset {
            open.borrow_mut().push(stream);
        }
    }
}

/// A driver and its discovery, until this is dropped.
struct TestNode {
    tasks: [JoinHandle<()>; 2],
    _address_changes: watch_channel::Sender<SocketAddr>,
}

impl TestNode {
    fn start(config: &Config) -> Self {
        let clock = Clock::start();
        let (messages, mut inbox) = mpsc::channel(64);
        let (commands, discovery_commands) = mpsc::channel(16);
        let (address_changes, addresses) = watch_channel::channel(config.discovery);
        let upstream = Upstream::start(
            clock,
            crate::startup::upstream_options(config),
            Budget::new(1 << 20),
        );
        let options = crate::startup::driver_options(config);
        let mut driver = Driver::new(clock, options, upstream, messages.clone(), commands);
        let driver = spawn_local(async move { driver.run(&mut inbox).await });
        let discovery = Discovery::new(crate::startup::discovery_options(config), messages);
        let discovery = spawn_local(discovery.run(discovery_commands, addresses));
        TestNode {
            tasks: [driver, discovery],
            _address_changes: address_changes,
        }
    }
}

impl Drop for TestNode {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// How long a node goes without the list once discovery can be reached, after a failure of that
/// length.
fn time_without_list(
    mode: &str,
    poll_interval: u64,
    failure: Failure,
    length: Duration,
    seed: u64,
) -> Duration {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket
            .bind(SocketAddr::from(([127, 0, 0, 1], 0)))
            .expect("a port");
        let config = config(
            socket.local_addr().expect("its address"),
            mode,
            poll_interval,
            seed,
        );
        // The first call is not after a failed one: the failure lasts for so long from there.
        let first = Duration::from_secs(1)
            + if mode == "ask" {
                millis(poll_interval as f64) / 4
            } else {
                Duration::ZERO
            };
        let reachable = Instant::now() + first + length;
        let peer = spawn_local(run_discovery(socket, failure, reachable));
        let _node = TestNode::start(&config);
        // Time moves on by no more than this without the kernel having had a moment to hand on what
        // it has.
        spawn_local(async {
            loop {
                sleep(Duration::from_millis(250)).await;
                std::thread::sleep(KERNEL);
            }
        });
        let listed = peer.await.expect("discovery's part");
        listed - reachable
    })
}

#[test]
fn after_any_failure_the_next_list_arrives_within_6_s() {
    // Each in a thread of its own, for they wait for the kernel.
    std::thread::scope(|threads| {
        for (mode, poll_interval) in [
            ("push", 10_000),
            ("ask", 4_000),
            ("ask", 10_000),
            ("ask", 120_000),
        ] {
            for failure in FAILURES {
                threads.spawn(move || {
                    for step in 0..20 {
                        let length = Duration::from_millis(1213) * step;
                        let without = time_without_list(
                            mode,
                            poll_interval,
                            failure,
                            length,
                            u64::from(step),
                        );
                        let case = format!("{mode} {poll_interval}, {failure:?} for {length:?}");
                        assert!(without <= LIST_DEADLINE, "{case}: {without:?}");
                    }
                });
            }
        }
    });
}

/// A watch that is open ends in place of a change; returns how long the node takes for its next
/// call.
fn time_without_watch(mode: &str, poll_interval: u64) -> Duration {
    const WATCH_LENGTH: Duration = Duration::from_millis(1500);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let config = config(
            listener.local_addr().expect("its address"),
            mode,
            poll_interval,
            7,
        );
        let _node = TestNode::start(&config);
        let (mut watch, _) = listener.accept().await.expect("a call");
        let list = format!("HTTP/1.1 200 OK\r\n\r\n{LISTED}");
        watch.write_all(list.as_bytes()).await.expect("a node");
        sleep(WATCH_LENGTH).await;
        drop(watch);
        let ended = Instant::now();
        listener.accept().await.expect("a call");
        ended.elapsed()
    })
}

/// Far less than discovery needs for one call, while the calls of all nodes wait on one another.
#[test]
fn a_watch_that_ends_is_reopened_at_once() {
    for (mode, poll_interval) in [
        ("push", 10_000),
        ("ask", 4_000),
        ("ask", 10_000),
        ("ask", 120_000),
    ] {
        let without = time_without_watch(mode, poll_interval);
        assert!(
            without < Duration::from_millis(5),
            "{mode} {poll_interval}: {without:?}"
        );
    }
}
