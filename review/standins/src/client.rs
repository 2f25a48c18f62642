//! Clients of a node.

use crate::http::{Message, read_message};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns a call id that no other request has.
pub fn new_call_id() -> String {
    format!("{:016x}", 0x9b1f_0000_0000_0000 + NEXT_ID.fetch_add(1, Ordering::SeqCst))
}

/// A request as a client sends it.
pub struct Call {
    pub id: String,
    pub class: &'static str,
    pub bytes: Vec<u8>,
}

impl Call {
    /// Returns a GET without a body, for a class that is safe to repeat.
    pub fn get(class: &'static str, budget_ms: u64) -> Self {
        let id = new_call_id();
        let bytes = format!(
            "GET /{class}/{id} HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: {id}\r\nX-Budget-Ms: {budget_ms}\r\n\r\n"
        );
        Call { id, class, bytes: bytes.into_bytes() }
    }

    /// Returns a POST with a key and a short body.
    pub fn post(class: &'static str, budget_ms: u64) -> Self {
        let id = new_call_id();
        let body = format!("event {id}");
        let bytes = format!(
            "POST /{class} HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: {id}\r\nX-Budget-Ms: {budget_ms}\r\nIdempotency-Key: {id}{id}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        Call { id, class, bytes: bytes.into_bytes() }
    }
}

impl Call {
    /// Returns a POST without a key, for a class that is unsafe to repeat.
    pub fn post_without_key(class: &'static str, budget_ms: u64) -> Self {
        let id = new_call_id();
        let body = format!("order {id}");
        let bytes = format!(
            "POST /{class} HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: {id}\r\nX-Budget-Ms: {budget_ms}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        Call { id, class, bytes: bytes.into_bytes() }
    }
}

/// A connection to a node.
pub struct Connection(BufReader<TcpStream>);

impl Connection {
    /// Opens a connection on which reads wait for up to `patience`.
    pub fn open(address: SocketAddr, patience: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(patience))?;
        Ok(Connection(BufReader::new(stream)))
    }

    pub fn set_patience(&self, patience: Duration) {
        let _ = self.0.get_ref().set_read_timeout(Some(patience.max(Duration::from_millis(1))));
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0.get_mut().write_all(bytes)
    }

    /// Reads an answer. Fails if the connection ends or the patience is over before its last byte.
    pub fn receive(&mut self) -> io::Result<Message> {
        read_message(&mut self.0)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}
