//! Scripted endpoints: servers that reply to the node's requests as a test says, and record what
//! arrives.

use super::TEST_TIMEOUT;
use super::message::{Message, read_message};
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
    /// A whole response: status line after the version, headers, body.
    Response(&'static str, &'static str, Vec<u8>),
    /// These bytes, and then the connection closes.
    CloseAfter(Vec<u8>),
    /// These bytes, and then the connection is reset.
    ResetAfter(Vec<u8>),
    /// These bytes, and the connection stays open.
    Raw(&'static [u8]),
    /// Nothing, for as long as the node waits.
    NoResponse,
}

pub fn ok(body: &str) -> ScriptedReply {
    ScriptedReply::Response("200 OK", "", body.into())
}

/// A request, and the number of the connection that it came on.
pub struct ReceivedRequest {
    pub connection: usize,
    pub message: Message,
}

enum EndpointEvent {
    Request(ReceivedRequest),
    ConnectionClosed { connection: usize },
}

pub struct ScriptedEndpoint {
    pub address: SocketAddr,
    events: Receiver<EndpointEvent>,
    request_count: Arc<AtomicUsize>,
}

impl ScriptedEndpoint {
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

    pub fn next_request(&self) -> ReceivedRequest {
        loop {
            if let EndpointEvent::Request(request) = self.next_event() {
                return request;
            }
        }
    }

    /// The number of the connection that closes next.
    pub fn next_closed(&self) -> usize {
        loop {
            if let EndpointEvent::ConnectionClosed { connection } = self.next_event() {
                return connection;
            }
        }
    }

    /// Whether a connection has closed; passes over what came before that.
    pub fn has_closed_connection(&self) -> bool {
        self.events
            .try_iter()
            .any(|event| matches!(event, EndpointEvent::ConnectionClosed { .. }))
    }

    pub fn request_count(&self) -> usize {
        self.request_count.load(Ordering::SeqCst)
    }

    fn next_event(&self) -> EndpointEvent {
        self.events
            .recv_timeout(TEST_TIMEOUT)
            .expect("an event at the endpoint")
    }
}

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
            ScriptedReply::Response(status, headers, body) => {
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

/// Two endpoints that share a script; it is given how many requests came before, at either.
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

/// Two endpoints, of which the one that gets the first request replies as the script says; all
/// other requests are served.
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
