//! A client: one request at a time on a connection that it keeps.

use crate::http::read_message;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub struct Call<'a> {
    pub class: &'a str,
    pub safe: bool,
    pub id: String,
    pub key: Option<String>,
    pub budget_ms: u64,
    pub cost_us: u64,
    pub body: &'a [u8],
}

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// A whole answer: status and body.
    Whole(u16, Vec<u8>),
    /// The connection ended or broke before a whole answer, after the request was written.
    Broken(String),
    /// Nothing came in time.
    Nothing,
    /// The request could not be written.
    NotSent,
}

pub struct Client {
    address: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Client {
            address,
            connection: None,
        }
    }

    fn connect(&mut self) -> std::io::Result<&mut BufReader<TcpStream>> {
        if self.connection.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            self.connection = Some(BufReader::new(stream));
        }
        Ok(self.connection.as_mut().unwrap())
    }

    /// Sends a request and waits for its answer. Waits `patience` longer than the budget, to see late answers.
    pub fn call(&mut self, call: &Call, patience: Duration) -> Answer {
        let was_open = self.connection.is_some();
        let answer = self.call_once(call, patience);
        if was_open && matches!(answer, Answer::Broken(_) | Answer::NotSent) {
            // The node may close a connection between requests: once more on a new connection.
            return self.call_once(call, patience);
        }
        answer
    }

    fn call_once(&mut self, call: &Call, patience: Duration) -> Answer {
        let mut head = format!(
            "{} /{} HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: {}\r\nX-Budget-Ms: {}\r\nX-Call-Cost: {}\r\n",
            if call.safe { "GET" } else { "POST" },
            call.class,
            call.id,
            call.budget_ms,
            call.cost_us
        );
        if let Some(key) = &call.key {
            head += &format!("Idempotency-Key: {key}\r\n");
        }
        if !call.safe {
            head += &format!("Content-Length: {}\r\n", call.body.len());
        }
        head += "\r\n";
        let Ok(connection) = self.connect() else {
            return Answer::NotSent;
        };
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(call.body);
        let limit = Duration::from_millis(call.budget_ms) + patience;
        let _ = connection.get_ref().set_read_timeout(Some(limit));
        if connection.get_mut().write_all(&bytes).is_err() {
            self.connection = None;
            return Answer::NotSent;
        }
        match read_message(connection) {
            Ok(Some(message)) => {
                if message.header("connection") == Some("close") {
                    self.connection = None;
                }
                Answer::Whole(message.word(1).parse().unwrap_or(0), message.body)
            }
            Ok(None) => {
                self.connection = None;
                Answer::Broken("closed".into())
            }
            Err(error) => {
                self.connection = None;
                match error.kind() {
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => {
                        Answer::Nothing
                    }
                    _ => Answer::Broken(error.to_string()),
                }
            }
        }
    }
}

/// The status of the readiness check.
pub fn get_ready(address: SocketAddr) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_millis(500)))
        .ok()?;
    stream
        .write_all(b"GET /health/ready HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
        .ok()?;
    let message = read_message(&mut BufReader::new(stream)).ok()??;
    message.word(1).parse().ok()
}
