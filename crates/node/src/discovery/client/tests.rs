//! The time limits of lists. The runtime's clock is paused, and advances only while every task
//! waits.

use super::*;
use crate::socket::fault_injection::InjectedFaults;
use rustix::io::Errno;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

const LIST_DEADLINE: Duration = Duration::from_secs(6);
/// The time between two pieces of a response.
const PIECE_INTERVAL: Duration = Duration::from_millis(100);
/// Longer than the time limit of a list that trickles in, and shorter than the deadline.
const SLOW_LIST_DURATION: Duration = Duration::from_millis(5000);

/// Returns a list of 3200 endpoints, as many as the largest fleets have.
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

/// Responds to one call with `pieces`, one each [`PIECE_INTERVAL`], and keeps the connection open.
async fn serve_slowly(listener: TcpListener, pieces: Vec<Vec<u8>>) {
    let (mut stream, _) = listener.accept().await.expect("a call");
    let mut request = [0; 1024];
    assert!(stream.read(&mut request).await.expect("a request") > 0);
    for piece in pieces {
        sleep(PIECE_INTERVAL).await;
        if stream.write_all(&piece).await.is_err() {
            return;
        }
        stream.flush().await.expect("flush the stream");
    }
    std::future::pending::<()>().await;
}

/// Makes a call to which these pieces are the response. Returns the list or the error, and the time
/// until then.
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
        let started_at = Instant::now();
        let result = match client.watch(0).await {
            Ok(mut watch) => watch.next_list().await,
            Err(error) => Err(error),
        };
        server.abort();
        (result, started_at.elapsed())
    })
}

fn head(length: usize) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").into_bytes()
}

#[test]
fn a_large_list_that_arrives_slowly_is_read_completely() {
    let list = large_list();
    let piece_count = (SLOW_LIST_DURATION.as_millis() / PIECE_INTERVAL.as_millis()) as usize;
    let mut pieces = vec![head(list.len())];
    pieces.extend(
        list.as_bytes()
            .chunks(list.len().div_ceil(piece_count))
            .map(<[u8]>::to_vec),
    );
    let (result, elapsed) = call(pieces);
    assert_eq!(result.expect("a list").len(), list.len());
    assert!(elapsed < LIST_DEADLINE, "{elapsed:?}");
}

/// A list that trickles in times out early enough for the next call to bring the list by the
/// deadline.
#[test]
fn a_call_with_a_trickling_list_times_out_early_enough() {
    const MAX_CALL_DURATION: Duration = Duration::from_millis(4200);
    for intervals_before_head in [0, 20, 38] {
        let mut pieces = vec![Vec::new(); intervals_before_head];
        pieces.push(head(1 << 20));
        pieces.extend((0..1000).map(|_| b"{".to_vec()));
        let (result, elapsed) = call(pieces);
        assert!(
            matches!(result, Err(DiscoveryError::TimedOut)),
            "{result:?}"
        );
        assert!(
            elapsed <= MAX_CALL_DURATION,
            "{elapsed:?}, headers after {intervals_before_head} intervals"
        );
    }
    // An indented list whose lines keep arriving, and which never ends.
    let mut pieces = vec![head(1 << 20), b"{\n".to_vec()];
    pieces.extend((0..1000).map(|n| format!("  \"key{n}\": 0,\n").into_bytes()));
    let (result, elapsed) = call(pieces);
    assert!(
        matches!(result, Err(DiscoveryError::TimedOut)),
        "{result:?}"
    );
    assert!(elapsed <= MAX_CALL_DURATION, "{elapsed:?}");
}

#[test]
fn an_interrupted_or_short_call_does_not_delay_a_list() {
    const LIST: &str = "{\"index\":8,\"snapshot\":true,\"endpoints\":[]}\n";
    for fault in [
        || InjectedFaults::errors(Errno::INTR, 2),
        InjectedFaults::short_reads,
    ] {
        let faults = fault();
        let (result, elapsed) = call(vec![head(LIST.len()), LIST.as_bytes().to_vec()]);
        assert_eq!(result.expect("a list"), LIST);
        assert!(elapsed <= 3 * PIECE_INTERVAL, "{elapsed:?}");
        assert!(faults.count() > 0, "no fault was injected");
    }
}
