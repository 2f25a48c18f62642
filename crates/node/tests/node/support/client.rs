//! Clients of the node.

use super::message::{Message, read_message};
use super::settings::LONG_MS;
use super::wait::TEST_TIMEOUT;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts the requests, for their ids.
static REQUEST_NUMBER: AtomicUsize = AtomicUsize::new(0);

/// A connection of a client to the node.
pub struct Client(BufReader<TcpStream>);

impl Client {
    /// Connects to the node.
    pub fn connect(address: SocketAddr) -> Self {
        Client::try_connect(address).expect("the node accepts")
    }

    /// Connects to the node; `None` if nobody accepts the connection.
    pub fn try_connect(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).ok()?;
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a time-out");
        Some(Client(BufReader::new(stream)))
    }

    /// Sends a request. `start` is its method and target, `headers` its lines of headers.
    pub fn send(&mut self, start: &str, headers: &str, body: &[u8]) {
        self.0
            .get_mut()
            .write_all(&request_bytes(start, headers, body))
            .expect("the node reads");
    }

    /// Sends a request, and returns its response; `None` if the connection ends without one.
    pub fn try_request(&mut self, start: &str, headers: &str, body: &[u8]) -> Option<Message> {
        self.0
            .get_mut()
            .write_all(&request_bytes(start, headers, body))
            .ok()?;
        self.receive()
    }

    /// Returns whether the node has ended this connection as far as is known; does not wait.
    pub fn has_ended(&mut self) -> bool {
        let stream = self.0.get_ref();
        stream.set_nonblocking(true).expect("its mode");
        let peeked = stream.peek(&mut [0]);
        stream.set_nonblocking(false).expect("its mode");
        !matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Waits for a response; `None` if the connection ends without one.
    pub fn receive(&mut self) -> Option<Message> {
        read_message(&mut self.0)
    }

    /// Sends a request, and returns its response.
    pub fn request(&mut self, start: &str, headers: &str, body: &[u8]) -> Message {
        self.send(start, headers, body);
        self.receive().expect("a response")
    }

    /// Sends an idempotent request, and returns its response.
    pub fn request_read(&mut self) -> Message {
        self.request("GET /read/1f", &common_headers(LONG_MS), b"")
    }

    /// Sends a request that is not idempotent.
    pub fn send_correct(&mut self) {
        self.send("POST /correct/1f", &common_headers(LONG_MS), b"sheet");
    }

    /// Sends a request that is not idempotent, and returns its response.
    pub fn request_correct(&mut self) -> Message {
        self.send_correct();
        self.receive().expect("a response")
    }

    /// Sends these bytes.
    pub fn write(&mut self, bytes: &[u8]) {
        self.0.get_mut().write_all(bytes).expect("the node reads");
    }

    /// Closes this side of the connection. To the node, the client has disconnected.
    pub fn shutdown_write(&mut self) {
        self.0
            .get_mut()
            .shutdown(Shutdown::Write)
            .expect("it is open");
    }

    /// Waits for the next byte, and returns whether the node closes this connection instead.
    pub fn is_closed(&mut self) -> bool {
        match self.0.fill_buf() {
            Ok(more) => more.is_empty(),
            Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        }
    }
}

fn request_bytes(start: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = if body.is_empty() {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    let head = request_head(start, &format!("{headers}{length}"));
    [head.as_bytes(), body].concat()
}

/// Returns the head of a request, up to the empty line that ends it.
pub fn request_head(start: &str, headers: &str) -> String {
    format!("{start} HTTP/1.1\r\nHost: service.internal\r\n{headers}\r\n")
}

/// Returns the headers that every request must have, with an id of its own. `budget_ms` is the time
/// for which the client waits.
pub fn common_headers(budget_ms: u64) -> String {
    let number = REQUEST_NUMBER.fetch_add(1, Ordering::SeqCst);
    format!("X-Call-Id: {number:016x}\r\nX-Caller: acme\r\nX-Budget-Ms: {budget_ms}\r\n")
}
