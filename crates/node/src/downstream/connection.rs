//! The state of a client's connection, and the timeouts that follow from it.

use crate::socket::Handle;
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long a client may take from the accept, or from the first byte of a later request, to the
/// last byte of that request. With the interval at which timeouts are enforced, a slow client is
/// closed within 3 s.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the first request of a client that sends it at once may be on its way after the accept.
const FIRST_REQUEST_DELAY: Duration = Duration::from_millis(100);
/// How long a connection without a request is kept: its client may send another.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a client may take to end a connection that is closing.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// What a connection is doing.
#[derive(Clone, Copy, PartialEq)]
enum State {
    /// No request is being served. A part of the next one's head may have been read.
    Idle { since: Instant },
    /// A request's head has been read, and its response is not yet known.
    Serving,
    /// No more requests are served; the client is to end the connection.
    Closing { since: Instant },
}

/// What an idle connection is closed for, which decides the order.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Eviction {
    /// A client that comes while the registry is full: a crowd of silent clients, however new, does
    /// not displace those that are served.
    ForNewClient,
    /// A descriptor, of which the process has none left: a client that has just been accepted goes
    /// last.
    ForDescriptor,
}

/// The order in which idle connections are evicted.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EvictionRank {
    kind: IdleKind,
    idle_since: Instant,
}

/// Whose loss costs least comes first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum IdleKind {
    /// Has sent nothing since it was accepted.
    Silent,
    /// Has been served before: a request that crosses its end is sent again on a new connection.
    Served,
    /// Has just been accepted: its first request may be on its way, and would be lost.
    New,
}

/// A client's connection.
pub struct Connection {
    socket: Handle,
    accepted: Instant,
    /// Whether it has ever sent a request's head that could be read.
    has_sent_request: Cell<bool>,
    state: Cell<State>,
    shutdown: Notify,
    abort: Notify,
}

impl Connection {
    /// A connection that has just been accepted.
    pub fn new(socket: Handle) -> Self {
        let accepted = Instant::now();
        Connection {
            socket,
            accepted,
            has_sent_request: Cell::new(false),
            state: Cell::new(State::Idle { since: accepted }),
            shutdown: Notify::new(),
            abort: Notify::new(),
        }
    }

    /// A request's head has been read. Returns the deadline for reading the rest of the request.
    pub fn begin_request(&self) -> Instant {
        let started = self.request_started();
        self.has_sent_request.set(true);
        self.state.set(State::Serving);
        started.unwrap_or_else(Instant::now) + READ_TIMEOUT
    }

    /// The request has its response, after which the connection is kept.
    pub fn end_request(&self) {
        self.socket.reset_first_byte();
        self.state.set(State::Idle {
            since: Instant::now(),
        });
    }

    /// The request has its response, which is the last on this connection.
    pub fn end_last_request(&self) {
        self.socket.reset_first_byte();
        self.state.set(State::Closing {
            since: Instant::now(),
        });
    }

    /// When the request that is being read started: the first with the accept, a later one with its
    /// first byte.
    fn request_started(&self) -> Option<Instant> {
        if self.has_sent_request.get() {
            self.socket.first_byte_at()
        } else {
            Some(self.accepted)
        }
    }

    /// Closes the connection between requests; it is aborted if its client does not end it in time.
    pub fn close(&self) {
        self.state.set(State::Closing {
            since: Instant::now(),
        });
        self.shut_down_gracefully();
    }

    /// Asks the HTTP layer to end the connection as soon as it can.
    pub fn shut_down_gracefully(&self) {
        self.shutdown.notify_one();
    }

    /// Ends the connection at once.
    pub fn abort(&self) {
        self.abort.notify_one();
    }

    /// Waits until the connection is to be ended gracefully.
    pub async fn shutdown_requested(&self) {
        self.shutdown.notified().await;
    }

    /// Waits until the connection is to be ended at once.
    pub async fn abort_requested(&self) {
        self.abort.notified().await;
    }

    /// Completes once the client has disconnected while its request was being served. At other
    /// times the HTTP layer notices that itself, and this never completes.
    pub async fn client_disconnected(&self) {
        self.socket.peer_closed().await;
        if self.state.get() != State::Serving {
            std::future::pending().await
        }
    }

    /// Aborts or closes the connection if a timeout has passed. If this node was delayed itself, a
    /// request may have arrived in time and not be read yet: so a connection with unread bytes is
    /// not aborted.
    pub fn enforce_timeouts(&self, now: Instant) {
        let is_read_late = self
            .request_started()
            .is_some_and(|started| now > started + READ_TIMEOUT);
        match self.state.get() {
            State::Closing { since } if now > since + LINGER_TIMEOUT => self.abort(),
            State::Idle { .. } if is_read_late && self.socket.has_nothing_to_read() => self.abort(),
            State::Idle { since } if !is_read_late && now > since + IDLE_TIMEOUT => self.close(),
            State::Idle { .. } | State::Serving | State::Closing { .. } => {}
        }
    }

    /// Since when the connection has been closing, if it is.
    pub fn closing_since(&self) -> Option<Instant> {
        match self.state.get() {
            State::Closing { since } => Some(since),
            State::Idle { .. } | State::Serving => None,
        }
    }

    /// The rank of an idle connection, if it is one.
    pub fn eviction_rank(&self, eviction: Eviction) -> Option<EvictionRank> {
        let idle_since = self.idle_since()?;
        Some(EvictionRank {
            kind: self.idle_kind(eviction),
            idle_since,
        })
    }

    /// Since when the connection has been idle with no byte of a further request read, if it is.
    pub fn idle_since(&self) -> Option<Instant> {
        match self.state.get() {
            State::Idle { since } if self.socket.first_byte_at().is_none() => Some(since),
            State::Idle { .. } | State::Serving | State::Closing { .. } => None,
        }
    }

    fn idle_kind(&self, eviction: Eviction) -> IdleKind {
        let is_new = self.accepted.elapsed() < FIRST_REQUEST_DELAY;
        if self.has_sent_request.get() {
            IdleKind::Served
        } else if is_new && eviction == Eviction::ForDescriptor {
            IdleKind::New
        } else {
            IdleKind::Silent
        }
    }

    /// Whether the kernel has no unread bytes for this connection. Takes a system call.
    pub fn has_nothing_to_read(&self) -> bool {
        self.socket.has_nothing_to_read()
    }
}
