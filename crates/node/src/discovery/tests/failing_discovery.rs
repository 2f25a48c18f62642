//! A discovery service that fails in a given way until it can be reached.

use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

/// Discovery works through the calls of all nodes one after the other.
const BUSY: Duration = Duration::from_millis(400);
/// The list that discovery has.
pub const LISTED: &str = "{\"index\":8,\"snapshot\":true,\"endpoints\":[]}\n";
const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// How discovery fails until it can be reached.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Failure {
    /// Nobody listens on the port.
    Refused,
    /// Another status than 200.
    Answered503,
    /// The connection is closed in place of a response.
    Reset,
    /// No response.
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

/// All ways to fail.
pub const FAILURES: [Failure; 8] = [
    Failure::Refused,
    Failure::Answered503,
    Failure::Reset,
    Failure::Stalled,
    Failure::TruncatedList,
    Failure::SilentWatch,
    Failure::DrippingList,
    Failure::DrippingChange,
];

impl Failure {
    /// Responds to a call. Returns its stream if that stays open with nothing more to come.
    async fn respond(self, mut stream: TcpStream) -> Option<TcpStream> {
        match self {
            Failure::Reset => return None,
            Failure::DrippingList => {
                spawn_local(drip(stream, HEAD.to_owned(), Duration::from_millis(3800)));
                return None;
            }
            Failure::DrippingChange => {
                let start = format!("{HEAD}{}", chunk(LISTED));
                spawn_local(drip(stream, start, Duration::ZERO));
                return None;
            }
            Failure::Answered503 => {
                send(
                    &mut stream,
                    "HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n",
                )
                .await
            }
            Failure::TruncatedList => {
                send(&mut stream, &format!("{HEAD}{}", chunk(&LISTED[..20]))).await;
            }
            Failure::SilentWatch => {
                send(&mut stream, &format!("{HEAD}{}", chunk(LISTED))).await;
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
    stream.write_all(text.as_bytes()).await.expect("a node");
}

/// Sends the start of a response after a delay, and then a list byte by byte, for as long as it is
/// read but for half a minute at the most.
async fn drip(mut stream: TcpStream, start: String, delay: Duration) {
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

/// Serves calls: those that come before `reachable` fail, the next one gets the list. Returns when
/// it has.
pub async fn run_discovery(socket: TcpSocket, failure: Failure, reachable: Instant) -> Instant {
    let mut open = Vec::new(); // what is stalled stays open
    if failure == Failure::Refused {
        sleep_until(reachable).await; // a port that is bound and not listened on
    }
    let listener = socket.listen(1024).expect("a port that is bound");
    loop {
        let (mut stream, _) = listener.accept().await.expect("a call");
        let mut read = [0; 1024];
        assert!(stream.read(&mut read).await.expect("a head") > 0);
        if Instant::now() >= reachable {
            sleep(BUSY).await;
            send(&mut stream, &format!("{HEAD}{}", chunk(LISTED))).await;
            return Instant::now();
        }
        open.extend(failure.respond(stream).await);
    }
}
