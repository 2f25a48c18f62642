//! Accepted connections that wait for room in the registry.
//!
//! A client that has sent nothing may never do so. A waiting connection therefore displaces a
//! client that was served only once its own client has sent something.

use crate::socket::{is_readable, is_readable_after_event};
use std::cell::Cell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// An accepted connection that is not served yet.
struct WaitingConnection {
    stream: TcpStream,
    accepted_at: Instant,
    /// Whether its client has sent something, or has closed the connection.
    has_sent: Cell<bool>,
}

/// The connections that wait for room, in the order in which they were accepted.
pub(super) struct WaitingConnections {
    connections: VecDeque<WaitingConnection>,
    max_length: usize,
}

impl WaitingConnection {
    /// Returns whether its client has sent something, as far as the runtime knows.
    fn has_sent(&self) -> bool {
        self.has_sent.get()
    }

    /// Updates what is known. Makes a system call only if the runtime reports the stream as
    /// readable.
    fn update(&self) {
        if !self.has_sent.get() {
            self.has_sent.set(is_readable_after_event(&self.stream));
        }
    }

    /// Returns whether its client has sent nothing for longer than this.
    fn is_silent(&self, limit: Duration) -> bool {
        self.accepted_at.elapsed() > limit && !self.has_sent()
    }

    /// Completes when its client sends something, unless that is known already.
    fn poll_sent(&self, cx: &mut Context<'_>) -> Poll<()> {
        if self.has_sent.get() {
            return Poll::Pending;
        }
        let polled = self.stream.poll_read_ready(cx).map(|_| ());
        self.has_sent.set(polled.is_ready());
        polled
    }
}

impl WaitingConnections {
    /// Creates an empty queue, in which `max_length` connections may stay.
    pub(super) fn new(max_length: usize) -> Self {
        WaitingConnections {
            connections: VecDeque::new(),
            max_length,
        }
    }

    /// Adds a connection that has just been accepted.
    pub(super) fn push(&mut self, stream: TcpStream) {
        // The runtime has no event of the stream yet.
        let has_sent = is_readable(&stream);
        self.connections.push_back(WaitingConnection {
            stream,
            accepted_at: Instant::now(),
            has_sent: Cell::new(has_sent),
        });
    }

    /// Updates whether the clients have sent something.
    pub(super) fn update(&self) {
        self.connections.iter().for_each(WaitingConnection::update);
    }

    /// Returns whether no connection waits.
    pub(super) fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Returns how many connections may stay.
    pub(super) fn max_length(&self) -> usize {
        self.max_length
    }

    /// Returns whether more connections wait than may stay.
    pub(super) fn exceeds_limit(&self) -> bool {
        self.connections.len() > self.max_length
    }

    /// Returns whether a client has sent something.
    pub(super) fn has_sender(&self) -> bool {
        self.first_sender().is_some()
    }

    /// Returns whether a client that has sent something has waited for longer than this.
    pub(super) fn sender_has_waited(&self, limit: Duration) -> bool {
        self.first_sender()
            .is_some_and(|index| self.connections[index].accepted_at.elapsed() > limit)
    }

    /// Removes the first connection whose client has sent something.
    pub(super) fn take_sender(&mut self) -> Option<TcpStream> {
        let index = self.first_sender()?;
        Some(self.connections.remove(index)?.stream)
    }

    /// Removes the connection that is served next: the first one whose client has sent something,
    /// or else the first one.
    pub(super) fn take_next(&mut self) -> Option<TcpStream> {
        let index = self.first_sender().unwrap_or(0);
        Some(self.connections.remove(index)?.stream)
    }

    /// Closes the first connection if its client has sent nothing.
    pub(super) fn close_first_if_silent(&mut self) {
        if self.connections.front().is_some_and(|c| !c.has_sent()) {
            self.connections.pop_front();
        }
    }

    /// Closes the connections whose clients have sent nothing for longer than this.
    pub(super) fn close_silent(&mut self, limit: Duration) {
        self.connections.retain(|c| !c.is_silent(limit));
    }

    /// Waits until a client sends something that had sent nothing before.
    pub(super) async fn client_sends(&self) {
        poll_fn(|cx| self.poll_client_sends(cx)).await;
    }

    fn poll_client_sends(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut polled = Poll::Pending;
        for connection in &self.connections {
            if connection.poll_sent(cx).is_ready() {
                polled = Poll::Ready(());
            }
        }
        polled
    }

    /// Returns the position of the first connection whose client has sent something.
    fn first_sender(&self) -> Option<usize> {
        self.connections
            .iter()
            .position(WaitingConnection::has_sent)
    }
}
