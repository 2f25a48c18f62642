//! Tests of new clients that connect while the registry is full.

use super::{Acceptor, Client, HttpServer, RequestEnd, bind};
use super::{downstream_with_driver, in_virtual_time, server};
use crate::limits::MAX_BODY_BYTES;
use crate::message::DriverMessage;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

const MAX_CONNECTIONS: usize = 4;
/// A request is lost if it has no final response this long after the time that its client waits:
/// half a second, and the 50 ms by which every limit is longer on sockets.
const RESPONSE_GRACE: Duration = Duration::from_millis(550);
/// Longer than the next bytes of a request may take to arrive before it counts as stalled.
const STALL_TIME: Duration = Duration::from_millis(300);
const HALF_HEAD: &str = "POST /correct/1 HTTP/1.1\r\nHost: service.internal\r\nX-Call-";
const HALF_BODY: &str = "POST /correct/1 HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: 1f\r\n\
    X-Budget-Ms: 600\r\nContent-Length: 8\r\n\r\nhalf";
const READINESS_CHECK: &str = "GET /health/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n";
const SECOND_HALF: &str = "half";

/// Runs a test against an acceptor that holds at most [`MAX_CONNECTIONS`].
fn with_small_registry(test: impl AsyncFnOnce(SocketAddr)) {
    with_server(server(MAX_CONNECTIONS), test);
}

/// Runs a test against an acceptor for this server.
fn with_server(server: Rc<HttpServer>, test: impl AsyncFnOnce(SocketAddr)) {
    in_virtual_time(async {
        let (listener, address) = bind().await;
        let mut acceptor = Acceptor::new(listener, server);
        let running = spawn_local(async move { acceptor.run().await });
        test(address).await;
        running.abort();
    });
}

/// Connects a client that sends these bytes.
async fn connect_and_send(address: SocketAddr, bytes: &str) -> Client {
    let mut client = Client::connect(address).await;
    send(&mut client, bytes).await;
    client
}

async fn send(client: &mut Client, bytes: &str) {
    let written = client.0.write_all(bytes.as_bytes()).await;
    written.expect("the node is connected");
}

/// Returns a complete request with this call id.
fn complete_request(id: usize) -> String {
    request_with_body(id, "sheet")
}

/// Returns a complete request with this call id, and with the longest body that is allowed.
fn large_request(id: usize) -> String {
    request_with_body(id, &"x".repeat(MAX_BODY_BYTES))
}

fn request_with_body(id: usize, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /correct/1 HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: {id}\r\n\
        X-Budget-Ms: 600\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// Reads the status line's beginning of a response that comes within [`RESPONSE_GRACE`].
async fn read_status(client: &mut Client) -> String {
    let mut status = [0; 12];
    let read = timeout(RESPONSE_GRACE, client.0.read_exact(&mut status)).await;
    let result = read.expect("a response should come in time");
    result.expect("the connection should not end before");
    String::from_utf8_lossy(&status).into_owned()
}

/// Sends a request, and returns how it ends within [`RESPONSE_GRACE`].
async fn request_in_time(client: &mut Client) -> RequestEnd {
    let request = timeout(RESPONSE_GRACE, client.request()).await;
    request.unwrap_or(RequestEnd::NotServed)
}

/// Reads what the client is sent until the connection ends, within [`RESPONSE_GRACE`].
async fn read_to_end(client: &mut Client) -> String {
    let mut text = String::new();
    let read = timeout(RESPONSE_GRACE, client.0.read_to_string(&mut text)).await;
    let result = read.expect("the connection should end in time");
    result.expect("the node ends the connection without a reset");
    text
}

/// Guards against: clients that stop within a request kept every place until the read timeout, and
/// requests on new connections got no response in time.
#[test]
fn stopped_requests_do_not_block_new_clients() {
    for part in [HALF_HEAD, HALF_BODY] {
        with_small_registry(async |address| {
            let mut stopped = Vec::new();
            for _ in 0..2 * MAX_CONNECTIONS {
                stopped.push(connect_and_send(address, part).await);
            }
            let mut client = Client::connect(address).await;
            assert_eq!(
                request_in_time(&mut client).await,
                RequestEnd::Served,
                "{part:?}"
            );
        });
    }
}

/// The rejection is a final response, which a client that was only slow needs. Its request surely
/// never ran.
#[test]
fn evicted_requests_are_rejected_before_the_connection_ends() {
    for part in [HALF_HEAD, HALF_BODY] {
        with_small_registry(async |address| {
            let mut first = connect_and_send(address, part).await;
            let mut others = Vec::new();
            for _ in 0..MAX_CONNECTIONS {
                others.push(connect_and_send(address, part).await);
            }
            let response = read_to_end(&mut first).await;
            assert!(
                response.starts_with("HTTP/1.1 503 Service Unavailable\r\n"),
                "{part:?}: {response:?}"
            );
            assert!(response.contains("connection: close\r\n"), "{response:?}");
            assert!(response.ends_with("\r\n\r\n"), "{response:?}");
        });
    }
}

#[test]
fn stalled_requests_are_evicted_before_served_clients() {
    with_small_registry(async |address| {
        let mut served = Client::connect_and_request(address).await;
        let mut stopped = Vec::new();
        for _ in 1..MAX_CONNECTIONS {
            stopped.push(connect_and_send(address, HALF_HEAD).await);
        }
        sleep(STALL_TIME).await;
        let mut new = Client::connect(address).await;
        assert_eq!(request_in_time(&mut new).await, RequestEnd::Served, "new");
        assert_eq!(
            request_in_time(&mut served).await,
            RequestEnd::Served,
            "served before"
        );
    });
}

#[test]
fn request_whose_rest_has_arrived_is_not_evicted() {
    with_small_registry(async |address| {
        let mut slow = connect_and_send(address, HALF_BODY).await;
        let mut stopped = Vec::new();
        for _ in 1..MAX_CONNECTIONS {
            stopped.push(connect_and_send(address, HALF_HEAD).await);
        }
        sleep(STALL_TIME).await;
        send(&mut slow, SECOND_HALF).await;
        let mut new = Client::connect(address).await;
        assert_eq!(request_in_time(&mut new).await, RequestEnd::Served);
        // There is no driver, so a request that was read completely fails.
        assert_eq!(read_status(&mut slow).await, "HTTP/1.1 502");
    });
}

/// Guards against: the first request of a new client got no response, because its connection was
/// closed to make room for another one before the request had arrived.
#[test]
fn new_clients_are_not_evicted_before_their_first_request() {
    with_small_registry(async |address| {
        let mut served = Vec::new();
        for _ in 1..MAX_CONNECTIONS {
            served.push(Client::connect_and_request(address).await);
        }
        let mut new = Client::connect(address).await;
        let mut newest = connect_and_send(address, READINESS_CHECK).await;
        assert_eq!(request_in_time(&mut new).await, RequestEnd::Served, "new");
        let response = read_status(&mut newest).await;
        assert_eq!(response, "HTTP/1.1 200", "newest");
    });
}

/// Guards against: while every place was taken by a request that was served, requests on further
/// connections got no response in time.
#[test]
fn requests_without_room_are_shed_in_time() {
    // A driver that takes no message from its inbox, so that no request ends.
    let (driver, _inbox) = mpsc::channel(MAX_CONNECTIONS);
    with_server(
        downstream_with_driver(MAX_CONNECTIONS, driver).server,
        async |address| {
            let mut served = Vec::new();
            for id in 0..MAX_CONNECTIONS {
                served.push(connect_and_send(address, &complete_request(id)).await);
            }
            let first_sent_at = Instant::now();
            let mut waiting = Vec::new();
            for id in 0..3 {
                let request = complete_request(MAX_CONNECTIONS + id);
                waiting.push(connect_and_send(address, &request).await);
            }
            for client in &mut waiting {
                assert_eq!(read_status(client).await, "HTTP/1.1 503");
            }
            assert!(first_sent_at.elapsed() < RESPONSE_GRACE);
        },
    );
}

/// Guards against: silent clients that connect in hundreds delayed the accepts, and requests on the
/// connections behind them were shed or came too late.
#[test]
fn silent_clients_do_not_delay_requests_behind_them() {
    const SILENT_CLIENTS: usize = 200;
    with_small_registry(async |address| {
        let mut silent = Vec::new();
        for _ in 0..SILENT_CLIENTS {
            silent.push(TcpStream::connect(address).await.expect("the node listens"));
        }
        let mut client = connect_and_send(address, READINESS_CHECK).await;
        assert_eq!(read_status(&mut client).await, "HTTP/1.1 200");
        let mut other = connect_and_send(address, &complete_request(1)).await;
        // There is no driver, so a request that is not shed fails.
        assert_eq!(read_status(&mut other).await, "HTTP/1.1 502");
    });
}

/// Guards against: a request was forwarded although its client had sent more than the kernel holds
/// and had left while it waited for room, so that its close could not be seen.
#[test]
fn request_of_client_that_left_while_waiting_is_not_forwarded() {
    const WAIT: Duration = Duration::from_millis(200);
    const REQUESTS: usize = 100;
    let (driver, mut inbox) = mpsc::channel(4 * MAX_CONNECTIONS);
    let downstream = downstream_with_driver(MAX_CONNECTIONS, driver);
    with_server(downstream.server, async |address| {
        let mut served = Vec::new();
        for id in 0..MAX_CONNECTIONS {
            served.push(connect_and_send(address, &complete_request(id)).await);
        }
        let leaving = Client::connect(address).await;
        let requests: String = (0..REQUESTS)
            .map(|id| large_request(REQUESTS + id))
            .collect();
        let mut sent = 0;
        while let Ok(count) = leaving.0.try_write(&requests.as_bytes()[sent..]) {
            sent += count;
        }
        assert!(sent < requests.len(), "the kernel cannot hold all bytes");
        drop(leaving);
        sleep(WAIT).await;
        // Makes room, so that the connection that waits is served.
        served.pop();
        sleep(WAIT).await;
    });
    let mut forwarded = 0;
    while let Ok(message) = inbox.try_recv() {
        forwarded += usize::from(matches!(message, DriverMessage::Request(_)));
    }
    assert_eq!(forwarded, MAX_CONNECTIONS);
}

/// The time for the first request is counted from the accept. A client that is silent, or stops
/// within a request, is owed the end of its connection 3 s after it has connected.
#[test]
fn waiting_for_room_does_not_extend_the_read_timeout() {
    const TIME_OWED: Duration = Duration::from_secs(3);
    const WAIT: Duration = Duration::from_millis(1800);
    let (driver, _inbox) = mpsc::channel(MAX_CONNECTIONS);
    let downstream = downstream_with_driver(MAX_CONNECTIONS, driver);
    let registry = downstream.registry;
    with_server(downstream.server, async |address| {
        let timeouts = spawn_local(registry.enforce_timeouts());
        let mut served = Vec::new();
        for id in 0..MAX_CONNECTIONS {
            served.push(connect_and_send(address, &complete_request(id)).await);
        }
        let mut silent = Client::connect(address).await;
        let connected_at = Instant::now();
        sleep(WAIT).await;
        // Makes room, so that the connection that waits is served.
        drop(served);
        let ended = timeout(TIME_OWED, silent.0.read(&mut [0])).await;
        assert!(matches!(ended, Ok(Ok(0))), "{ended:?}");
        assert!(connected_at.elapsed() < TIME_OWED);
        timeouts.abort();
    });
}
