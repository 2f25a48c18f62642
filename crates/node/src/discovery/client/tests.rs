//! How long a call may take for a list. Time is the runtime's own here.

use super::*;
use crate::socket::fault_injection::InjectedFaults;
use rustix::io::Errno;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

const LIST_DEADLINE: Duration = Duration::from_secs(6);
const STEP: Duration = Duration::from_millis(100);
/// More than the node gives a list that hardly arrives, less than the deadline.
const SLOW_LIST_TIME: Duration = Duration::from_millis(5000);

/// A list of as many endpoints as the largest fleets have.
fn large_list() -> String {
    let entries: Vec<_> = (0..3200)
        .map(|n| {
            format!(
                r#"{{"name":"s-{n:08x}","address":"127.0.0.1:{}","zone":"a","type":"m","group":3,"status":"in_service","weight":1.0,"since_ms":0}}"#,
                1024 + n
            )
        })
        .collect();
    format!(
        r#"{{"index":41,"snapshot":true,"endpoints":[{}]}}"#,
        entries.join(",")
    ) + "\n"
}

/// Answers one call with `pieces`, one each [`STEP`], and keeps the connection open.
async fn serve_slowly(listener: TcpListener, pieces: Vec<Vec<u8>>) {
    let (mut stream, _) = listener.accept().await.expect("a call");
    let mut read = [0; 1024];
    assert!(stream.read(&mut read).await.expect("a head") > 0);
    for piece in pieces {
        sleep(STEP).await;
        if stream.write_all(&piece).await.is_err() {
            return;
        }
        stream.flush().await.expect("a node");
    }
    std::future::pending().await
}

/// How a call and its list end that is answered with these pieces, and how long that takes.
fn call(pieces: Vec<Vec<u8>>) -> (Result<Bytes, DiscoveryError>, Duration) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let client = DiscoveryClient::new(
            listener.local_addr().expect("its address"),
            Duration::from_secs(1),
        );
        let server = spawn_local(serve_slowly(listener, pieces));
        let started = Instant::now();
        let result = match client.watch(0).await {
            Ok(mut watch) => watch.next_list().await,
            Err(error) => Err(error),
        };
        server.abort();
        (result, started.elapsed())
    })
}

fn head(length: usize) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").into_bytes()
}

#[test]
fn a_large_list_that_arrives_slowly_is_taken_in() {
    let list = large_list();
    let pieces_count = (SLOW_LIST_TIME.as_millis() / STEP.as_millis()) as usize;
    let mut pieces = vec![head(list.len())];
    pieces.extend(
        list.as_bytes()
            .chunks(list.len().div_ceil(pieces_count))
            .map(<[u8]>::to_vec),
    );
    let (result, elapsed) = call(pieces);
    assert_eq!(result.expect("a list").len(), list.len());
    assert!(elapsed < LIST_DEADLINE, "{elapsed:?}");
}

/// By the deadline, the next call has to have brought the list.
#[test]
fn a_call_whose_list_hardly_arrives_times_out_early_enough() {
    const MAX_TIME: Duration = Duration::from_millis(4200);
    for steps_before_head in [0, 20, 38] {
        let mut pieces = vec![Vec::new(); steps_before_head];
        pieces.push(head(1 << 20));
        pieces.extend((0..1000).map(|_| b"{".to_vec()));
        let (result, elapsed) = call(pieces);
        assert!(
            matches!(result, Err(DiscoveryError::TimedOut)),
            "{result:?}"
        );
        assert!(
            elapsed <= MAX_TIME,
            "{elapsed:?}, head after {steps_before_head} steps"
        );
    }
    // An indented list that gets another line each second, and never its end.
    let mut pieces = vec![head(1 << 20), b"{\n".to_vec()];
    pieces.extend((0..1000).map(|n| format!("  \"key{n}\": 0,\n").into_bytes()));
    let (result, elapsed) = call(pieces);
    assert!(
        matches!(result, Err(DiscoveryError::TimedOut)),
        "{result:?}"
    );
    assert!(elapsed <= MAX_TIME, "{elapsed:?}");
}

#[test]
fn an_interrupted_or_short_call_does_not_hold_up_a_list() {
    const LIST: &str = "{\"index\":8,\"snapshot\":true,\"endpoints\":[]}\n";
    for fault in [
        || InjectedFaults::errors(Errno::INTR, 2),
        InjectedFaults::short_reads,
    ] {
        let faults = fault();
        let (result, elapsed) = call(vec![head(LIST.len()), LIST.as_bytes().to_vec()]);
        assert_eq!(result.expect("a list"), LIST);
        assert!(elapsed <= 3 * STEP, "{elapsed:?}");
        assert!(faults.count() > 0, "it is reached");
    }
}
