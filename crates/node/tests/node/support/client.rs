//! Clients of the node.

use super::TEST_TIMEOUT;
use super::message::{Message, read_message};
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};

static REQUEST_NUMBER: AtomicUsize = AtomicUsize::new(0);

/// A connection of a client to the node.
pub struct Client(BufReader<TcpStream>);

impl Client {
    pub fn connect(address: SocketAddr) -> Self {
        Client::try_connect(address).expect("the node accepts")
    }

    /// A connection, unless nobody accepts it.
    pub fn try_connect(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).ok()?;
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a time-out");
        Some(Client(BufReader::new(stream)))
    }

    pub fn send(&mut self, start: &str, headers: &str, body: &[u8]) {
        self.0
            .get_mut()
            .write_all(&request_bytes(start, headers, body))
            .expect("the node reads");
    }

    /// The response to a request; `None` if the connection ends without one.
    pub fn try_request(&mut self, start: &str, headers: &str, body: &[u8]) -> Option<Message> {
        self.0
            .get_mut()
            .write_all(&request_bytes(start, headers, body))
            .ok()?;
        self.receive()
    }

    /// Whether the node is known to have ended this connection; does not wait for it.
    pub fn has_ended(&mut self) -> bool {
        let stream = self.0.get_ref();
        stream.set_nonblocking(true).expect("its mode");
        let peeked = stream.peek(&mut [0]);
        stream.set_nonblocking(false).expect("its mode");
        !matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// The response; `None` if the connection ends without one.
    pub fn receive(&mut self) -> Option<Message> {
        read_message(&mut self.0)
    }

    pub fn request(&mut self, start: &str, headers: &str, body: &[u8]) -> Message {
        self.send(start, headers, body);
        self.receive().expect("a response")
    }

    pub fn request_read(&mut self) -> Message {
        self.request("GET /read/1f", &common_headers(20_000), b"")
    }

    pub fn send_correct(&mut self) {
        self.send("POST /correct/1f", &common_headers(20_000), b"sheet");
    }

    pub fn request_correct(&mut self) -> Message {
        self.send_correct();
        self.receive().expect("a response")
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.0.get_mut().write_all(bytes).expect("the node reads");
    }

    /// Closes this side of the connection: to the node, this client has disconnected.
    pub fn shutdown_write(&mut self) {
        self.0
            .get_mut()
            .shutdown(Shutdown::Write)
            .expect("it is open");
    }

    /// Whether the node closes this connection without another byte.
    pub fn is_closed(&mut self) -> bool {
        match self.0.fill_buf() {
            Ok(more) => more.is_empty(),
            Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        }
    }
}

fn request_bytes(start: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = if body.is_empty() {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    let head = format!("{start} HTTP/1.1\r\nHost: service.internal\r\n{headers}{length}\r\n");
    [head.as_bytes(), body].concat()
}

/// The headers that every request has, with an id of its own.
pub fn common_headers(budget_ms: u64) -> String {
    let number = REQUEST_NUMBER.fetch_add(1, Ordering::SeqCst);
    format!("X-Call-Id: {number:016x}\r\nX-Caller: acme\r\nX-Budget-Ms: {budget_ms}\r\n")
}
