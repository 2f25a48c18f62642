//! Accepted connections that wait for room in the registry.
//!
//! A client that has sent nothing may never do so. A waiting connection therefore displaces a
//! client that was served only once its own client has sent something.

use crate::downstream::http_server::AcceptedConnection;
use crate::socket::{Unread, unread, unread_after_event};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;

/// An accepted connection that is not served yet.
struct WaitingConnection {
    accepted: AcceptedConnection,
    /// What its client has sent, as far as that is known.
    unread: Unread,
}

/// The connections that wait for room, in the order in which they were accepted.
pub(super) struct WaitingConnections {
    connections: VecDeque<WaitingConnection>,
    max_length: usize,
}

impl WaitingConnection {
    /// Returns whether its client has sent something.
    fn has_sent(&self) -> bool {
        self.unread != Unread::Nothing
    }

    /// Updates what its client has sent. Returns false if the client has closed the connection
    /// without sending anything.
    fn update(&mut self) -> bool {
        if self.unread == Unread::Nothing {
            self.unread = unread_after_event(&self.accepted.stream);
        }
        self.unread != Unread::End
    }

    /// Returns whether its client has sent nothing for longer than this.
    fn is_silent(&self, limit: Duration) -> bool {
        self.wait_time() > limit && !self.has_sent()
    }

    /// Returns the time since the connection was accepted.
    fn wait_time(&self) -> Duration {
        self.accepted.accepted_at.elapsed()
    }

    /// Completes when its client does something, unless it has sent something before.
    fn poll_sent(&self, cx: &mut Context<'_>) -> Poll<()> {
        if self.has_sent() {
            return Poll::Pending;
        }
        self.accepted.stream.poll_read_ready(cx).map(|_| ())
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
        let unread = unread(&stream);
        self.connections.push_back(WaitingConnection {
            accepted: AcceptedConnection::now(stream),
            unread,
        });
    }

    /// Updates what the clients have sent, and removes those that have closed their connections.
    pub(super) fn update(&mut self) {
        self.connections.retain_mut(WaitingConnection::update);
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
            .is_some_and(|index| self.connections[index].wait_time() > limit)
    }

    /// Removes the first connection whose client has sent something.
    pub(super) fn take_sender(&mut self) -> Option<AcceptedConnection> {
        let index = self.first_sender()?;
        Some(self.connections.remove(index)?.accepted)
    }

    /// Removes the connection that is served next: the first one whose client has sent something,
    /// or else the first one.
    pub(super) fn take_next(&mut self) -> Option<AcceptedConnection> {
        let index = self.first_sender().unwrap_or(0);
        Some(self.connections.remove(index)?.accepted)
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
