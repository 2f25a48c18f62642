//! HTTP clients of the node.

use super::message::{Message, read_message};
use super::settings::LONG_DEADLINE_MS;
use super::wait::TEST_TIMEOUT;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};

/// The number of the next request, from which its id is made.
static NEXT_REQUEST_NUMBER: AtomicUsize = AtomicUsize::new(0);

/// A client connection to the node.
pub(crate) struct Client(BufReader<TcpStream>);

impl Client {
    /// Connects to the node.
    pub(crate) fn connect(address: SocketAddr) -> Self {
        Client::try_connect(address).expect("node should accept the connection")
    }

    /// Connects to the node. Returns `None` if the connection fails.
    pub(crate) fn try_connect(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).ok()?;
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("read timeout should be set");
        Some(Client(BufReader::new(stream)))
    }

    /// Sends a request. Each line of `headers` ends with CRLF.
    pub(crate) fn send(&mut self, method_and_target: &str, headers: &str, body: &[u8]) {
        self.0
            .get_mut()
            .write_all(&request_bytes(method_and_target, headers, body))
            .expect("node should receive the bytes");
    }

    /// Sends a request and returns the response, or `None` if the connection ends without one.
    pub(crate) fn try_request(
        &mut self,
        method_and_target: &str,
        headers: &str,
        body: &[u8],
    ) -> Option<Message> {
        self.0
            .get_mut()
            .write_all(&request_bytes(method_and_target, headers, body))
            .ok()?;
        self.receive()
    }

    /// Returns, without waiting, whether the node has closed this connection or sent bytes that no
    /// request asked for.
    pub(crate) fn is_ended_now(&mut self) -> bool {
        let stream = self.0.get_ref();
        stream
            .set_nonblocking(true)
            .expect("blocking mode should be set");
        let peeked = stream.peek(&mut [0]);
        stream
            .set_nonblocking(false)
            .expect("blocking mode should be set");
        !matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Waits for a response. Returns `None` if the connection ends without one.
    pub(crate) fn receive(&mut self) -> Option<Message> {
        read_message(&mut self.0)
    }

    /// Waits for a response. Panics if the connection ends without one.
    pub(crate) fn receive_response(&mut self) -> Message {
        self.receive().expect("node should send a response")
    }

    /// Sends a request and returns the response.
    pub(crate) fn request(
        &mut self,
        method_and_target: &str,
        headers: &str,
        body: &[u8],
    ) -> Message {
        self.send(method_and_target, headers, body);
        self.receive_response()
    }

    /// Sends an idempotent request and returns the response.
    pub(crate) fn request_idempotent(&mut self) -> Message {
        self.request("GET /read/1f", &common_headers(LONG_DEADLINE_MS), b"")
    }

    /// Sends a request that is not idempotent.
    pub(crate) fn send_non_idempotent(&mut self) {
        self.send(
            "POST /correct/1f",
            &common_headers(LONG_DEADLINE_MS),
            b"sheet",
        );
    }

    /// Sends a request that is not idempotent and returns the response.
    pub(crate) fn request_non_idempotent(&mut self) -> Message {
        self.send_non_idempotent();
        self.receive_response()
    }

    /// Sends raw bytes.
    pub(crate) fn write(&mut self, bytes: &[u8]) {
        self.0
            .get_mut()
            .write_all(bytes)
            .expect("node should receive the bytes");
    }

    /// Shuts down the sending direction of the connection. The node treats this as a disconnect.
    pub(crate) fn shutdown_write(&mut self) {
        self.0
            .get_mut()
            .shutdown(Shutdown::Write)
            .expect("connection should be open");
    }

    /// Waits for the next byte. Returns `true` if the node closes or resets the connection instead,
    /// and `false` if a byte arrives or none arrives within [`TEST_TIMEOUT`].
    pub(crate) fn wait_for_close(&mut self) -> bool {
        match self.0.fill_buf() {
            Ok(bytes) => bytes.is_empty(),
            Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        }
    }
}

/// Returns a request with a Content-Length if it has a body.
pub(crate) fn request_bytes(method_and_target: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = if body.is_empty() {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    let head = request_head(method_and_target, &format!("{headers}{length}"));
    [head.as_bytes(), body].concat()
}

/// Returns the head of a request, including the empty line that ends it.
pub(crate) fn request_head(method_and_target: &str, headers: &str) -> String {
    format!("{method_and_target} HTTP/1.1\r\nHost: service.internal\r\n{headers}\r\n")
}

/// Returns the headers that every request needs, with a unique call id. `budget_ms` is how long the
/// client waits for the response.
pub(crate) fn common_headers(budget_ms: u64) -> String {
    let number = NEXT_REQUEST_NUMBER.fetch_add(1, Ordering::SeqCst);
    format!("X-Call-Id: {number:016x}\r\nX-Caller: acme\r\nX-Budget-Ms: {budget_ms}\r\n")
}
