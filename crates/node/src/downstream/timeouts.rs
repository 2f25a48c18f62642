//! The timeouts of client connections and their enforcement.

use super::connection::{Connection, ConnectionState};
use std::time::Duration;
use tokio::time::Instant;

/// How often the timeouts of all connections are enforced.
pub(super) const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a client may take from the start of a request to its last byte. The first request
/// starts when the connection is accepted, a later one with its first byte. With [`CHECK_INTERVAL`]
/// added, a slow client's connection is closed within 3 s.
pub(super) const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an idle connection is kept for its client's next request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a client may take to end a connection that is closing.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// A timeout that has passed.
enum PassedTimeout {
    /// [`READ_TIMEOUT`].
    Read,
    /// [`IDLE_TIMEOUT`].
    Idle,
    /// [`LINGER_TIMEOUT`].
    Linger,
}

/// Aborts or closes the connection if one of its timeouts has passed. A connection with unread
/// bytes is not aborted at the read timeout: if this node was delayed itself, the request may have
/// arrived in time.
pub(super) fn enforce(connection: &Connection, now: Instant) {
    match passed_timeout(connection, now) {
        Some(PassedTimeout::Read) if connection.has_nothing_to_read() => connection.abort(),
        Some(PassedTimeout::Read) => {}
        Some(PassedTimeout::Idle) => connection.close(),
        Some(PassedTimeout::Linger) => connection.abort(),
        None => {}
    }
}

/// Returns the timeout of the connection that has passed by `now`, if any. Once a request's head
/// has been read, its read timeout is enforced by the `request_body` module instead.
fn passed_timeout(connection: &Connection, now: Instant) -> Option<PassedTimeout> {
    match connection.state() {
        ConnectionState::Idle { .. } if has_read_timed_out(connection, now) => {
            Some(PassedTimeout::Read)
        }
        ConnectionState::Idle { since } if now > since + IDLE_TIMEOUT => Some(PassedTimeout::Idle),
        ConnectionState::Closing { since } if now > since + LINGER_TIMEOUT => {
            Some(PassedTimeout::Linger)
        }
        ConnectionState::Idle { .. }
        | ConnectionState::ReadingBody
        | ConnectionState::Serving
        | ConnectionState::Closing { .. } => None,
    }
}

/// Returns whether the request that is being read has taken longer than [`READ_TIMEOUT`].
fn has_read_timed_out(connection: &Connection, now: Instant) -> bool {
    connection
        .request_started_at()
        .is_some_and(|started_at| now > started_at + READ_TIMEOUT)
}
