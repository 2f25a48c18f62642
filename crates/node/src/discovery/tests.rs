//! After any failure of calls to discovery, the next list arrives within 6 s of discovery being
//! reachable again. The runtime's clock is paused, and advances only while every task waits.

mod failing_discovery;
mod node;

use failing_discovery::{FAILURES, Failure, SNAPSHOT, run_discovery};
use node::{TestNode, config};
use ottertiller_balancer::settings::millis;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket};
use tokio::runtime::Runtime;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

/// How long the kernel may take to deliver what one side wrote, in real time.
const KERNEL_DELAY: Duration = Duration::from_millis(1);
const LIST_DEADLINE: Duration = Duration::from_secs(6);
/// The values of the settings `RegistryMode` and `MustAskIn` (the poll interval, in milliseconds)
/// under test.
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

/// Returns how long a node takes to get the list from the moment when discovery is reachable again,
/// after a failure of the given duration.
fn time_without_list(
    mode: &str,
    poll_interval: u64,
    failure: Failure,
    failure_duration: Duration,
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
        // The call under test must follow a failed one, so the first call has to fail. The failure
        // therefore lasts for `failure_duration` from the time by which the first call is made.
        let first_call_by = Duration::from_secs(1)
            + if mode == "ask" {
                millis(poll_interval as f64) / 4
            } else {
                Duration::ZERO
            };
        let reachable_at = Instant::now() + first_call_by + failure_duration;
        let discovery = spawn_local(run_discovery(socket, failure, reachable_at));
        let _node = TestNode::start(&config);
        // Gives the kernel real time to deliver data whenever the paused clock has advanced by
        // 250 ms.
        spawn_local(async {
            loop {
                sleep(Duration::from_millis(250)).await;
                std::thread::sleep(KERNEL_DELAY);
            }
        });
        let served_at = discovery.await.expect("the time of the list");
        served_at - reachable_at
    })
}

#[test]
fn after_any_failure_the_next_list_arrives_within_6_s() {
    // Each mode and failure has its own thread, because the runs mostly wait for the kernel.
    std::thread::scope(|threads| {
        for (mode, poll_interval) in MODES {
            for failure in FAILURES {
                threads.spawn(move || {
                    for step in 0..20 {
                        let failure_duration = Duration::from_millis(1213) * step;
                        let elapsed = time_without_list(
                            mode,
                            poll_interval,
                            failure,
                            failure_duration,
                            u64::from(step),
                        );
                        let case =
                            format!("{mode} {poll_interval}, {failure:?} for {failure_duration:?}");
                        assert!(elapsed <= LIST_DEADLINE, "{case}: {elapsed:?}");
                    }
                });
            }
        }
    });
}

/// Ends an open watch in place of a change, and returns how long the node takes to make its next
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
        let list = format!("HTTP/1.1 200 OK\r\n\r\n{SNAPSHOT}");
        watch
            .write_all(list.as_bytes())
            .await
            .expect("write to the node");
        sleep(WATCH_LENGTH).await;
        drop(watch);
        let ended_at = Instant::now();
        listener.accept().await.expect("a call");
        ended_at.elapsed()
    })
}

/// The limit of 5 ms is far less than discovery takes for one call while the calls of all nodes
/// queue.
#[test]
fn a_watch_that_ends_is_reopened_at_once() {
    for (mode, poll_interval) in MODES {
        let elapsed = time_without_watch(mode, poll_interval);
        assert!(
            elapsed < Duration::from_millis(5),
            "{mode} {poll_interval}: {elapsed:?}"
        );
    }
}
