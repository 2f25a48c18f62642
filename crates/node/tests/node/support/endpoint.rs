//! Scripted endpoints, which reply to the node's requests as a test says and record what arrives.

use super::message::{Message, read_message};
use super::wait::TEST_TIMEOUT;
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::spawn;
use std::time::Duration;

/// What a scripted endpoint does with a request.
pub enum ScriptedReply {
    /// A whole response. `status` is the status line after the version, `headers` are lines of
    /// headers.
    Response {
        status: &'static str,
        headers: &'static str,
        body: Vec<u8>,
    },
    /// These bytes, and then an orderly close of the connection.
    CloseAfter(Vec<u8>),
    /// These bytes, and then a reset of the connection.
    ResetAfter(Vec<u8>),
    /// These bytes, on a connection that stays open.
    Raw(&'static [u8]),
    /// No response for as long as the node waits.
    NoResponse,
}

/// Returns a response of status 200 with this body.
pub fn ok(body: &str) -> ScriptedReply {
    response("200 OK", "", body.as_bytes())
}

/// Returns a response of status 200 with these headers and without a body.
pub fn ok_with_headers(headers: &'static str) -> ScriptedReply {
    response("200 OK", headers, b"")
}

/// Returns a response that proves that the request did not run.
pub fn rejection(status: &'static str) -> ScriptedReply {
    response(status, "X-Rejected: 1\r\n", b"")
}

/// Returns a response with a status, lines of headers, and a body.
pub fn response(status: &'static str, headers: &'static str, body: &[u8]) -> ScriptedReply {
    ScriptedReply::Response {
        status,
        headers,
        body: body.to_vec(),
    }
}

/// A request as an endpoint received it.
pub struct ReceivedRequest {
    /// The number of its connection, from 0.
    pub connection: usize,
    pub message: Message,
}

/// What happens at an endpoint.
enum EndpointEvent {
    Request(ReceivedRequest),
    ConnectionClosed { connection: usize },
}

/// An endpoint that replies by a script.
pub struct ScriptedEndpoint {
    pub address: SocketAddr,
    events: Receiver<EndpointEvent>,
    request_count: Arc<AtomicUsize>,
}

impl ScriptedEndpoint {
    /// Starts an endpoint that responds to all requests with status 200 and this body.
    pub fn serving(body: &'static str) -> Self {
        Self::start(move |_| ok(body))
    }

    /// Starts an endpoint that never responds.
    pub fn silent() -> Self {
        Self::start(|_| ScriptedReply::NoResponse)
    }

    /// Starts an endpoint that replies to each request as `script` says.
    pub fn start(script: impl Fn(&Message) -> ScriptedReply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let (event_sender, events) = channel();
        let request_count = Arc::new(AtomicUsize::new(0));
        let (script, count) = (Arc::new(script), request_count.clone());
        spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let stream = stream.expect("a connection");
                let (script, count, events) = (script.clone(), count.clone(), event_sender.clone());
                spawn(move || serve(stream, connection, &events, &count, &*script));
            }
        });
        ScriptedEndpoint {
            address,
            events,
            request_count,
        }
    }

    /// Waits for the next request.
    pub fn next_request(&self) -> ReceivedRequest {
        loop {
            if let EndpointEvent::Request(request) = self.next_event() {
                return request;
            }
        }
    }

    /// Waits until a connection closes, and returns its number.
    pub fn next_closed(&self) -> usize {
        loop {
            if let EndpointEvent::ConnectionClosed { connection } = self.next_event() {
                return connection;
            }
        }
    }

    /// Returns whether a connection has closed; drops the events before that.
    pub fn has_closed_connection(&self) -> bool {
        self.events
            .try_iter()
            .any(|event| matches!(event, EndpointEvent::ConnectionClosed { .. }))
    }

    /// Returns the number of requests so far.
    pub fn request_count(&self) -> usize {
        self.request_count.load(Ordering::SeqCst)
    }

    fn next_event(&self) -> EndpointEvent {
        self.events
            .recv_timeout(TEST_TIMEOUT)
            .expect("an event at the endpoint")
    }
}

/// Replies to the requests on a connection until it ends.
fn serve(
    stream: TcpStream,
    connection: usize,
    events: &Sender<EndpointEvent>,
    request_count: &AtomicUsize,
    script: &impl Fn(&Message) -> ScriptedReply,
) {
    let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
    let mut writer = stream;
    while let Some(message) = read_message(&mut reader) {
        request_count.fetch_add(1, Ordering::SeqCst);
        let request = ReceivedRequest {
            connection,
            message: message.clone(),
        };
        let _ = events.send(EndpointEvent::Request(request));
        match script(&message) {
            ScriptedReply::Response {
                status,
                headers,
                body,
            } => {
                let head = format!(
                    "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
                    body.len()
                );
                let _ = writer.write_all(&[head.as_bytes(), &body].concat());
            }
            ScriptedReply::CloseAfter(bytes) => {
                let _ = writer.write_all(&bytes);
                let _ = writer.shutdown(Shutdown::Both);
                break;
            }
            ScriptedReply::ResetAfter(bytes) => {
                let _ = writer.write_all(&bytes);
                SockRef::from(&writer)
                    .set_linger(Some(Duration::ZERO))
                    .expect("a reset at its close");
                break;
            }
            ScriptedReply::Raw(bytes) => drop(writer.write_all(bytes)),
            ScriptedReply::NoResponse => {}
        }
    }
    let _ = events.send(EndpointEvent::ConnectionClosed { connection });
}

/// Starts two endpoints that share a script, which gets the number of earlier requests at either.
pub fn endpoint_pair(
    script: impl Fn(usize) -> ScriptedReply + Send + Sync + 'static,
) -> (ScriptedEndpoint, ScriptedEndpoint) {
    let count = Arc::new(AtomicUsize::new(0));
    let script = Arc::new(script);
    let start = || {
        let (count, script) = (count.clone(), script.clone());
        ScriptedEndpoint::start(move |_| script(count.fetch_add(1, Ordering::SeqCst)))
    };
    (start(), start())
}

/// Starts two endpoints. The one that gets the first request replies to it by `first_reply`, and
/// all other requests get the body `second`.
pub fn endpoint_pair_with_first_reply(
    first_reply: impl Fn() -> ScriptedReply + Send + Sync + 'static,
) -> (ScriptedEndpoint, ScriptedEndpoint) {
    endpoint_pair(move |before| {
        if before == 0 {
            first_reply()
        } else {
            ok("second")
        }
    })
}

/// Returns the number of requests that some endpoints have received.
pub fn count_requests(endpoints: &[ScriptedEndpoint]) -> usize {
    endpoints.iter().map(ScriptedEndpoint::request_count).sum()
}
