//! A client's connection: its state, and the transitions between the states.

use crate::socket::SocketHandle;
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// How long a client may have waited for room without being checked for a close before its first
/// request is forwarded. No attempt may begin more than 0.1 s after a client has closed.
const MAX_UNCHECKED_WAIT: Duration = Duration::from_millis(50);
/// How long the bytes that a client has sent behind its request may take to arrive once there is room
/// for them: some round trips.
const REMAINDER_DELAY: Duration = Duration::from_millis(5);

/// The state of a connection.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum ConnectionState {
    /// No request is being served. Part of the next request's head may have been read.
    Idle {
        /// When the connection was accepted, or the most recent response was passed to the HTTP
        /// layer, which writes it.
        since: Instant,
    },
    /// A request's head has been read, but not all of its body.
    ReadingBody,
    /// A request has been read to its last byte, and its response has not been passed to the HTTP
    /// layer.
    Serving,
    /// No more requests are served, and the client is expected to end the connection. If it does
    /// not in time, [`timeouts`](super::timeouts) or [`eviction`](super::eviction) aborts the
    /// connection.
    Closing {
        /// When the last response on the connection was passed to the HTTP layer, or
        /// [`Connection::close`] was called.
        since: Instant,
    },
}

/// The part of a request that was being read when its connection was evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestPart {
    /// The head.
    Head,
    /// The body.
    Body,
}

/// What is done with the requests on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ServiceMode {
    /// They are served.
    Serve,
    /// The first one is shed, and the connection ends after the response.
    Shed,
}

/// A client's connection.
pub(super) struct Connection {
    socket: SocketHandle,
    mode: ServiceMode,
    accepted_at: Instant,
    /// Whether the client has waited for room for longer than [`MAX_UNCHECKED_WAIT`], and has not been
    /// found connected since.
    may_have_closed: Cell<bool>,
    /// Whether the complete head of a request has ever been read.
    has_read_request_head: Cell<bool>,
    state: Cell<ConnectionState>,
    /// The part of the request that must not be read further, because the connection is evicted.
    evicted_part: Cell<Option<RequestPart>>,
    /// Notified when `evicted_part` is set.
    evicted: Notify,
    /// Notified when the HTTP layer is to end the connection gracefully.
    shutdown: Notify,
    /// Notified when the connection is to be dropped at once.
    abort: Notify,
}

impl Connection {
    /// Creates the state of an accepted connection.
    pub(super) fn new(socket: SocketHandle, mode: ServiceMode, accepted_at: Instant) -> Self {
        Connection {
            socket,
            mode,
            accepted_at,
            may_have_closed: Cell::new(accepted_at.elapsed() > MAX_UNCHECKED_WAIT),
            has_read_request_head: Cell::new(false),
            state: Cell::new(ConnectionState::Idle { since: accepted_at }),
            evicted_part: Cell::new(None),
            evicted: Notify::new(),
            shutdown: Notify::new(),
            abort: Notify::new(),
        }
    }

    /// Records that a request's head has been read. Returns when the request started.
    pub(super) fn begin_request(&self) -> Instant {
        let started_at = self.request_started_at();
        self.has_read_request_head.set(true);
        self.state.set(ConnectionState::ReadingBody);
        self.evicted_part.set(None);
        // The start of a pipelined request is unknown if all its bytes were read before the
        // previous response was passed to the HTTP layer. Such a request starts now.
        started_at.unwrap_or_else(Instant::now)
    }

    /// Records that the request has been read to its last byte.
    pub(super) fn request_received(&self) {
        self.state.set(ConnectionState::Serving);
        self.evicted_part.set(None);
    }

    /// Records that the response to the request is passed to the HTTP layer, and that the
    /// connection is kept for further requests.
    pub(super) fn end_request(&self) {
        self.socket.allow_next_request();
        self.state.set(ConnectionState::Idle {
            since: Instant::now(),
        });
    }

    /// Records that the response to the request is passed to the HTTP layer, and is the last on
    /// this connection. The HTTP layer ends the connection after writing it.
    pub(super) fn end_last_request(&self) {
        self.socket.end_request();
        self.start_closing();
    }

    /// Closes an idle connection: marks it as closing, and shuts it down gracefully. If its client
    /// does not end it in time, it is aborted.
    pub(super) fn close(&self) {
        self.start_closing();
        self.shut_down_gracefully();
    }

    /// Makes room by ending the connection. A request that is being read is rejected, unless its
    /// next part arrives before that. If a request is being served, does nothing.
    pub(super) fn evict(&self) {
        match self.state() {
            ConnectionState::Idle { .. } if self.is_reading_head() => {
                self.evict_request(RequestPart::Head);
            }
            ConnectionState::Idle { .. } => self.close(),
            ConnectionState::ReadingBody => self.evict_request(RequestPart::Body),
            ConnectionState::Serving | ConnectionState::Closing { .. } => {}
        }
    }

    fn evict_request(&self, part: RequestPart) {
        self.start_closing();
        self.evicted_part.set(Some(part));
        self.evicted.notify_waiters();
    }

    /// Waits until the connection is evicted while this part of a request is being read.
    pub(super) async fn evicted_while_reading(&self, part: RequestPart) {
        loop {
            let evicted = self.evicted.notified();
            if self.evicted_part.get() == Some(part) {
                return;
            }
            evicted.await;
        }
    }

    /// Sends a final response past the HTTP layer, which has not read the request's whole head. The
    /// caller then drops the connection.
    pub(super) fn send_final_response(&self, response: &[u8]) {
        self.socket.write_past_hyper(response);
    }

    /// Asks the HTTP layer to end the connection, after the request in progress if there is one.
    /// The state does not change.
    pub(super) fn shut_down_gracefully(&self) {
        self.shutdown.notify_one();
    }

    /// Drops the connection at once.
    pub(super) fn abort(&self) {
        self.abort.notify_one();
    }

    /// Waits until a graceful shutdown of the connection is requested.
    pub(super) async fn shutdown_requested(&self) {
        self.shutdown.notified().await;
    }

    /// Waits until the connection is to be dropped at once.
    pub(super) async fn abort_requested(&self) {
        self.abort.notified().await;
    }

    /// Completes when the client closes its side of the connection, or the connection fails, while
    /// a request's body is being read or the request is being served. The caller then drops the
    /// connection together with the request. A client that closes only its sending side counts as
    /// disconnected too.
    ///
    /// The state is checked once, when the close is noticed. If there is no such request then, this
    /// never completes, since the HTTP layer detects the close itself.
    pub(super) async fn client_disconnected(&self) {
        self.socket.peer_closed().await;
        match self.state() {
            ConnectionState::ReadingBody | ConnectionState::Serving => {}
            ConnectionState::Idle { .. } | ConnectionState::Closing { .. } => {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Returns whether the client may have closed the connection while it waited for room, when
    /// nothing was read from it. If the client has sent more than the request that has been read, the
    /// end of the stream may be behind that.
    pub(super) async fn may_have_closed_while_waiting(&self) -> bool {
        if self.may_have_closed.get() {
            sleep(REMAINDER_DELAY).await;
            self.may_have_closed
                .set(self.socket.has_more_behind_request());
        }
        self.may_have_closed.get()
    }

    /// Returns what is done with the requests.
    pub(super) fn mode(&self) -> ServiceMode {
        self.mode
    }

    /// Returns whether the request whose head was read last stands for one that was discarded,
    /// because its client has sent too much at once.
    pub(super) fn has_discarded_request(&self) -> bool {
        self.socket.has_passed_placeholder()
    }

    /// Returns the state.
    pub(super) fn state(&self) -> ConnectionState {
        self.state.get()
    }

    /// Returns whether the complete head of a request has ever been read.
    pub(super) fn has_read_request_head(&self) -> bool {
        self.has_read_request_head.get()
    }

    /// Returns the time since the connection was accepted.
    pub(super) fn age(&self) -> Duration {
        self.accepted_at.elapsed()
    }

    /// Returns when the request that is being read or served started. The first request starts when
    /// the connection is accepted, so that the read timeout also applies to a client that sends
    /// nothing. A later request starts with the first byte that is read after the previous response
    /// was passed to the HTTP layer. Returns `None` if no such byte has been read.
    pub(super) fn request_started_at(&self) -> Option<Instant> {
        if self.has_read_request_head() {
            self.socket.first_byte_at()
        } else {
            Some(self.accepted_at)
        }
    }

    /// Returns since when the connection has been closing, if it is.
    pub(super) fn closing_since(&self) -> Option<Instant> {
        match self.state() {
            ConnectionState::Closing { since } => Some(since),
            ConnectionState::Idle { .. }
            | ConnectionState::ReadingBody
            | ConnectionState::Serving => None,
        }
    }

    /// Returns since when the connection has been idle with no byte of a further request read, if
    /// it is.
    pub(super) fn idle_since(&self) -> Option<Instant> {
        match self.state() {
            ConnectionState::Idle { since } if !self.is_reading_head() => Some(since),
            ConnectionState::Idle { .. }
            | ConnectionState::ReadingBody
            | ConnectionState::Serving
            | ConnectionState::Closing { .. } => None,
        }
    }

    /// Returns whether a part of a request's head has been read.
    pub(super) fn is_reading_head(&self) -> bool {
        matches!(self.state(), ConnectionState::Idle { .. })
            && self.socket.first_byte_at().is_some()
    }

    /// Returns when the last bytes of the request that is being read arrived, if one is.
    pub(super) fn reading_request_since(&self) -> Option<Instant> {
        let is_reading = self.state() == ConnectionState::ReadingBody || self.is_reading_head();
        is_reading.then(|| self.socket.last_byte_at()).flatten()
    }

    /// Returns whether every response has been written.
    pub(super) fn is_flushed(&self) -> bool {
        self.socket.is_flushed()
    }

    /// Returns whether the kernel has no unread bytes for this connection. Makes a system call.
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
