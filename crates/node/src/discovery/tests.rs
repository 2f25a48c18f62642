//! However a call to discovery failed, the next list has arrived within 6 s of discovery being
//! reachable. Time is the runtime's own here, and advances only when everything waits.

mod failing_discovery;
mod node;

use failing_discovery::{FAILURES, Failure, LISTED, run_discovery};
use node::{TestNode, config};
use ottertiller_balancer::settings::millis;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket};
use tokio::runtime::Runtime;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

/// What the kernel may take to hand on what one side wrote, in real time.
const KERNEL: Duration = Duration::from_millis(1);
const LIST_DEADLINE: Duration = Duration::from_secs(6);
/// The modes of keeping the list, with their poll intervals in milliseconds.
const MODES: [(&str, u64); 4] = [
    ("push", 10_000),
    ("ask", 4_000),
    ("ask", 10_000),
    ("ask", 120_000),
];

fn paused_runtime() -> Runtime {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    runtime.expect("a runtime")
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
    LocalSet::new().block_on(&paused_runtime(), async {
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
        for (mode, poll_interval) in MODES {
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
    LocalSet::new().block_on(&paused_runtime(), async {
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
    for (mode, poll_interval) in MODES {
        let without = time_without_watch(mode, poll_interval);
        assert!(
            without < Duration::from_millis(5),
            "{mode} {poll_interval}: {without:?}"
        );
    }
}
