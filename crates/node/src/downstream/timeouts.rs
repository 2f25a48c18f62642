//! The timeouts of client connections, and what is done when one has passed.

use super::connection::{Connection, ConnectionState};
use std::time::Duration;
use tokio::time::Instant;

/// How often the timeouts of all connections are enforced.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a client may take from the start of a request to its last byte. The first request
/// starts with the accept, a later one with its first byte. Together with [`CHECK_INTERVAL`], a
/// slow client is closed within 3 s.
pub const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a connection without a request is kept. Its client may send another one.
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
/// bytes is not aborted for a late request: if this node was delayed itself, the request may have
/// arrived in time.
pub fn enforce(connection: &Connection, now: Instant) {
    match passed_timeout(connection, now) {
        Some(PassedTimeout::Read) if connection.has_nothing_to_read() => connection.abort(),
        Some(PassedTimeout::Read) => {}
        Some(PassedTimeout::Idle) => connection.close(),
        Some(PassedTimeout::Linger) => connection.abort(),
        None => {}
    }
}

/// Returns the timeout of the connection that has passed by `now`, if one has. The read timeout of
/// a request whose head has been read is enforced where its body is read.
fn passed_timeout(connection: &Connection, now: Instant) -> Option<PassedTimeout> {
    match connection.state() {
        ConnectionState::Idle { .. } if is_read_late(connection, now) => Some(PassedTimeout::Read),
        ConnectionState::Idle { since } if now > since + IDLE_TIMEOUT => Some(PassedTimeout::Idle),
        ConnectionState::Closing { since } if now > since + LINGER_TIMEOUT => {
            Some(PassedTimeout::Linger)
        }
        ConnectionState::Idle { .. }
        | ConnectionState::Serving
        | ConnectionState::Closing { .. } => None,
    }
}

/// Returns whether the request that is being read has taken longer than [`READ_TIMEOUT`].
fn is_read_late(connection: &Connection, now: Instant) -> bool {
    connection
        .request_started()
        .is_some_and(|started| now > started + READ_TIMEOUT)
}
