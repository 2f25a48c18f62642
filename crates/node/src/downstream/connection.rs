//! A client's connection: its state, and the transitions between the states.

use crate::socket::SocketHandle;
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The state of a connection.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum ConnectionState {
    /// No request is being served. A part of the next one's head may have been read.
    Idle {
        /// When the connection was accepted or the last request got its response.
        since: Instant,
    },
    /// A request's head has been read, and its response is not yet known.
    Serving,
    /// No more requests are served; the client is to end the connection.
    Closing {
        /// When the last request got its response or the connection was closed.
        since: Instant,
    },
}

/// A client's connection.
pub(super) struct Connection {
    socket: SocketHandle,
    accepted: Instant,
    /// Whether the client has ever sent a request's head that could be read.
    has_sent_request: Cell<bool>,
    state: Cell<ConnectionState>,
    shutdown: Notify,
    abort: Notify,
}

impl Connection {
    /// Creates the state of a connection that has just been accepted.
    pub(super) fn new(socket: SocketHandle) -> Self {
        let accepted = Instant::now();
        Connection {
            socket,
            accepted,
            has_sent_request: Cell::new(false),
            state: Cell::new(ConnectionState::Idle { since: accepted }),
            shutdown: Notify::new(),
            abort: Notify::new(),
        }
    }

    /// Records that a request's head has been read. Returns when the request started.
    pub(super) fn begin_request(&self) -> Instant {
        let started = self.request_started();
        self.has_sent_request.set(true);
        self.state.set(ConnectionState::Serving);
        started.unwrap_or_else(Instant::now)
    }

    /// Records that the request has its response, after which the connection is kept.
    pub(super) fn end_request(&self) {
        self.socket.reset_first_byte();
        self.state.set(ConnectionState::Idle {
            since: Instant::now(),
        });
    }

    /// Records that the request has its response, which is the last one on this connection.
    pub(super) fn end_last_request(&self) {
        self.socket.reset_first_byte();
        self.start_closing();
    }

    /// Closes the connection between requests. It is aborted if its client does not end it in time.
    pub(super) fn close(&self) {
        self.start_closing();
        self.shut_down_gracefully();
    }

    /// Asks the HTTP layer to end the connection as soon as it can.
    pub(super) fn shut_down_gracefully(&self) {
        self.shutdown.notify_one();
    }

    /// Ends the connection at once.
    pub(super) fn abort(&self) {
        self.abort.notify_one();
    }

    /// Waits until the connection is to be ended gracefully.
    pub(super) async fn shutdown_requested(&self) {
        self.shutdown.notified().await;
    }

    /// Waits until the connection is to be ended at once.
    pub(super) async fn abort_requested(&self) {
        self.abort.notified().await;
    }

    /// Completes once the client has disconnected while its request was being served. At other
    /// times the HTTP layer notices the disconnect itself, and this never completes.
    pub(super) async fn client_disconnected(&self) {
        self.socket.peer_closed().await;
        if self.state() != ConnectionState::Serving {
            std::future::pending::<()>().await;
        }
    }

    /// Returns the state.
    pub(super) fn state(&self) -> ConnectionState {
        self.state.get()
    }

    /// Returns whether the client has ever sent a request's head that could be read.
    pub(super) fn has_sent_request(&self) -> bool {
        self.has_sent_request.get()
    }

    /// Returns the time since the accept.
    pub(super) fn age(&self) -> Duration {
        self.accepted.elapsed()
    }

    /// Returns when the request that is being read started: the first one with the accept, a later
    /// one with its first byte.
    pub(super) fn request_started(&self) -> Option<Instant> {
        if self.has_sent_request() {
            self.socket.first_byte_at()
        } else {
            Some(self.accepted)
        }
    }

    /// Returns since when the connection has been closing, if it is.
    pub(super) fn closing_since(&self) -> Option<Instant> {
        match self.state() {
            ConnectionState::Closing { since } => Some(since),
            ConnectionState::Idle { .. } | ConnectionState::Serving => None,
        }
    }

    /// Returns since when the connection has been idle with no byte of a further request read, if
    /// it is.
    pub(super) fn idle_since(&self) -> Option<Instant> {
        match self.state() {
            ConnectionState::Idle { since } if self.socket.first_byte_at().is_none() => Some(since),
            ConnectionState::Idle { .. }
            | ConnectionState::Serving
            | ConnectionState::Closing { .. } => None,
        }
    }

    /// Returns whether the kernel has no unread bytes for this connection. Takes a system call.
    pub(super) fn has_nothing_to_read(&self) -> bool {
        self.socket.has_nothing_to_read()
    }

    /// Records that no more requests are served on the connection.
    fn start_closing(&self) {
        self.state.set(ConnectionState::Closing {
            since: Instant::now(),
        });
    }
}
