//! A discovery service that fails in a given way until a given time.

use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

/// How long discovery takes to respond, because it serves the calls of all nodes one after the
/// other.
const RESPONSE_DELAY: Duration = Duration::from_millis(400);
/// The list that discovery sends.
pub(super) const SNAPSHOT: &str = "{\"index\":8,\"snapshot\":true,\"endpoints\":[]}\n";
const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// How discovery fails until it is reachable.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Failure {
    /// Nothing listens on the port.
    Refused,
    /// A response with status 503.
    Status503,
    /// The connection closes without a response.
    Reset,
    /// No response.
    Stalled,
    /// The start of the list, and then nothing.
    TruncatedList,
    /// A complete list, and then nothing, not even heartbeats.
    SilentWatch,
    /// Late response headers, and then a list that trickles in byte by byte and never becomes
    /// complete.
    TricklingList,
    /// A complete list, and then a delta that trickles in and never becomes complete.
    TricklingDelta,
}

/// All failures.
pub(super) const FAILURES: [Failure; 8] = [
    Failure::Refused,
    Failure::Status503,
    Failure::Reset,
    Failure::Stalled,
    Failure::TruncatedList,
    Failure::SilentWatch,
    Failure::TricklingList,
    Failure::TricklingDelta,
];

impl Failure {
    /// Responds to a call. Returns the stream if it is to stay open while nothing more is sent on
    /// it.
    async fn respond(self, mut stream: TcpStream) -> Option<TcpStream> {
        match self {
            Failure::Reset => return None,
            Failure::TricklingList => {
                spawn_local(trickle(
                    stream,
                    RESPONSE_HEAD.to_owned(),
                    Duration::from_millis(3800),
                ));
                return None;
            }
            Failure::TricklingDelta => {
                let start = format!("{RESPONSE_HEAD}{}", chunk(SNAPSHOT));
                spawn_local(trickle(stream, start, Duration::ZERO));
                return None;
            }
            Failure::Status503 => {
                send(
                    &mut stream,
                    "HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n",
                )
                .await;
            }
            Failure::TruncatedList => {
                send(
                    &mut stream,
                    &format!("{RESPONSE_HEAD}{}", chunk(&SNAPSHOT[..20])),
                )
                .await;
            }
            Failure::SilentWatch => {
                send(&mut stream, &format!("{RESPONSE_HEAD}{}", chunk(SNAPSHOT))).await;
            }
            Failure::Refused | Failure::Stalled => {}
        }
        Some(stream)
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

async fn send(stream: &mut TcpStream, text: &str) {
    stream
        .write_all(text.as_bytes())
        .await
        .expect("write to the node");
}

/// Sends the start of a response after a delay, and then a list, one byte each second for at most
/// 30 s, until the connection closes.
async fn trickle(mut stream: TcpStream, start: String, delay: Duration) {
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

/// Serves calls: those before `reachable_at` fail, and the next one gets the list. Returns the time
/// at which the list was sent.
pub(super) async fn run_discovery(
    socket: TcpSocket,
    failure: Failure,
    reachable_at: Instant,
) -> Instant {
    let mut open_streams = Vec::new(); // keeps stalled connections open
    if failure == Failure::Refused {
        sleep_until(reachable_at).await; // the port is bound, but nothing listens on it
    }
    let listener = socket.listen(1024).expect("listen on the bound port");
    loop {
        let (mut stream, _) = listener.accept().await.expect("a call");
        let mut request = [0; 1024];
        assert!(stream.read(&mut request).await.expect("a request") > 0);
        if Instant::now() >= reachable_at {
            sleep(RESPONSE_DELAY).await;
            send(&mut stream, &format!("{RESPONSE_HEAD}{}", chunk(SNAPSHOT))).await;
            return Instant::now();
        }
        open_streams.extend(failure.respond(stream).await);
    }
}
