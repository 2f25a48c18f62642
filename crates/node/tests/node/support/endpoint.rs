//! Scripted endpoints. The test defines their replies and can wait for the requests they receive.

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

/// How a scripted endpoint replies to a request.
pub(crate) enum ScriptedReply {
    /// Sends a response with a Content-Length. `status` is the status code and reason phrase. Each
    /// line of `headers` ends with CRLF.
    Response {
        status: &'static str,
        headers: &'static str,
        body: Vec<u8>,
    },
    /// Sends these bytes, then closes the connection with FIN.
    CloseAfter(Vec<u8>),
    /// Sends these bytes, then resets the connection.
    ResetAfter(Vec<u8>),
    /// Sends these bytes and keeps the connection open.
    Raw(Vec<u8>),
    /// Sends nothing and keeps the connection open.
    NoResponse,
}

/// Returns a response with status 200 and a body.
pub(crate) fn ok(body: &str) -> ScriptedReply {
    response("200 OK", "", body.as_bytes())
}

/// Returns a response with status 200 and headers, but no body.
pub(crate) fn ok_with_headers(headers: &'static str) -> ScriptedReply {
    response("200 OK", headers, b"")
}

/// Returns a response with `X-Rejected`, which states that the request did not run.
pub(crate) fn rejection(status: &'static str) -> ScriptedReply {
    response(status, "X-Rejected: 1\r\n", b"")
}

/// Returns a response with a status, headers and a body.
pub(crate) fn response(status: &'static str, headers: &'static str, body: &[u8]) -> ScriptedReply {
    ScriptedReply::Response {
        status,
        headers,
        body: body.to_vec(),
    }
}

/// A request as an endpoint received it.
pub(crate) struct ReceivedRequest {
    /// The number of the connection, counted from 0.
    pub connection: usize,
    pub message: Message,
}

/// An event that an endpoint reports to the test.
enum EndpointEvent {
    Request(ReceivedRequest),
    ConnectionClosed { connection: usize },
}

/// An endpoint whose replies are defined by a script.
pub(crate) struct ScriptedEndpoint {
    pub address: SocketAddr,
    events: Receiver<EndpointEvent>,
    request_count: Arc<AtomicUsize>,
}

impl ScriptedEndpoint {
    /// Starts an endpoint that responds to every request with status 200 and this body.
    pub(crate) fn serving(body: &'static str) -> Self {
        Self::start(move |_| ok(body))
    }

    /// Starts an endpoint that never responds.
    pub(crate) fn silent() -> Self {
        Self::start(|_| ScriptedReply::NoResponse)
    }

    /// Starts an endpoint that replies to each request with the result of `script`.
    pub(crate) fn start(
        script: impl Fn(&Message) -> ScriptedReply + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback port should bind");
        let address = listener
            .local_addr()
            .expect("listener should have an address");
        let (event_sender, events) = channel();
        let request_count = Arc::new(AtomicUsize::new(0));
        let (script, count) = (Arc::new(script), request_count.clone());
        spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let stream = stream.expect("listener should accept a connection");
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
    pub(crate) fn next_request(&self) -> ReceivedRequest {
        loop {
            if let EndpointEvent::Request(request) = self.next_event() {
                return request;
            }
        }
    }

    /// Waits until a connection closes and returns its number.
    pub(crate) fn next_closed(&self) -> usize {
        loop {
            if let EndpointEvent::ConnectionClosed { connection } = self.next_event() {
                return connection;
            }
        }
    }

    /// Returns, without waiting, whether a connection has closed. Discards the events up to and
    /// including that one, or all of them.
    pub(crate) fn take_closed_connection(&self) -> bool {
        self.events
            .try_iter()
            .any(|event| matches!(event, EndpointEvent::ConnectionClosed { .. }))
    }

    /// Returns the number of requests received so far.
    pub(crate) fn request_count(&self) -> usize {
        self.request_count.load(Ordering::SeqCst)
    }

    fn next_event(&self) -> EndpointEvent {
        self.events
            .recv_timeout(TEST_TIMEOUT)
            .expect("endpoint should receive a request or a close")
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
    let mut reader = BufReader::new(stream.try_clone().expect("socket should be cloned"));
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
                    .expect("linger time should be set to zero");
                break;
            }
            ScriptedReply::Raw(bytes) => drop(writer.write_all(&bytes)),
            ScriptedReply::NoResponse => {}
        }
    }
    let _ = events.send(EndpointEvent::ConnectionClosed { connection });
}

/// Starts two endpoints with the same script. Its argument is the number of earlier requests at
/// both endpoints together.
pub(crate) fn endpoint_pair(
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

/// Starts two endpoints. The first request at either of them gets `first_reply`, and all further
/// requests get status 200 with the body `second`.
pub(crate) fn endpoint_pair_with_first_reply(
    first_reply: impl Fn() -> ScriptedReply + Send + Sync + 'static,
) -> (ScriptedEndpoint, ScriptedEndpoint) {
    endpoint_pair(move |earlier_requests| {
        if earlier_requests == 0 {
            first_reply()
        } else {
            ok("second")
        }
    })
}

/// Returns the number of requests that the endpoints have received together.
pub(crate) fn count_requests(endpoints: &[ScriptedEndpoint]) -> usize {
    endpoints.iter().map(ScriptedEndpoint::request_count).sum()
}
