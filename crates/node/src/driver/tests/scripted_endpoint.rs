//! A scripted endpoint: the last segment of a request's path selects what it does.

use crate::message::ListedEndpoint;
use ottertiller_balancer::{EndpointEntry, EndpointId, EndpointState};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// How long the endpoint takes for a request with the script "slow".
const SLOW_RESPONSE_DELAY: Duration = Duration::from_millis(30);

/// Starts an endpoint whose load reports, in response to health checks, are `load`.
pub(super) async fn start(id: u64, load: &'static str) -> ListedEndpoint {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener's address");
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve(stream, load));
        }
    });
    listed(id, address)
}

/// Returns the list's entry for an endpoint that is ready.
pub(super) fn listed(id: u64, address: SocketAddr) -> ListedEndpoint {
    let entry = EndpointEntry {
        id: EndpointId(id),
        state: EndpointState::Ready,
        ..EndpointEntry::default()
    };
    ListedEndpoint { entry, address }
}

/// Serves a connection until it ends, or a script closes it.
async fn serve(stream: TcpStream, load: &'static str) -> Option<()> {
    let (read, mut write) = stream.into_split();
    let mut lines = BufReader::new(read);
    loop {
        let script = read_request(&mut lines).await?;
        let response = match script.as_str() {
            "stats" => format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{load}",
                load.len()
            ),
            "error" => "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n".to_owned(),
            "reject" => {
                "HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n".to_owned()
            }
            "garble" => "HTTP/1.1 noise\r\n\r\n".to_owned(),
            "reset" => return None,
            "silence" => continue,
            "slow" => {
                sleep(SLOW_RESPONSE_DELAY).await;
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate".to_owned()
            }
            _ => "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".to_owned(),
        };
        write.write_all(response.as_bytes()).await.ok()?;
    }
}

/// Reads a whole request, and returns the last segment of its path.
async fn read_request(lines: &mut BufReader<OwnedReadHalf>) -> Option<String> {
    let request_line = read_line(lines).await?;
    let mut body_length = 0;
    loop {
        let header = read_line(lines).await?;
        if header.trim().is_empty() {
            break;
        }
        if let Some(value) = header.strip_prefix("content-length: ") {
            body_length = value.trim().parse().ok()?;
        }
    }
    lines.read_exact(&mut vec![0; body_length]).await.ok()?;
    let path = request_line.split(' ').nth(1)?;
    Some(path.rsplit('/').next()?.to_owned())
}

async fn read_line(lines: &mut BufReader<OwnedReadHalf>) -> Option<String> {
    let mut line = String::new();
    let read = lines.read_line(&mut line).await.ok()?;
    (read > 0).then_some(line)
}
