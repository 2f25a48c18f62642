//! Evicts idle client connections to make room for new ones.

use super::connection::Connection;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long a connection counts as new. If a client sends its first request right after connecting,
/// the request may take this long to arrive.
const FIRST_REQUEST_DELAY: Duration = Duration::from_millis(100);
/// How long a closing connection may take to end before it is aborted to make room.
const CLOSING_GRACE: Duration = Duration::from_millis(10);

/// Why an idle connection is evicted. The order of eviction depends on it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum EvictionReason {
    /// A client has connected while the registry is full. Silent clients are evicted first, even
    /// new ones, so that many of them cannot displace clients that are served.
    RegistryFull,
    /// The process has no file descriptor left. New clients are evicted last.
    OutOfDescriptors,
}

/// The position of an idle connection in the order of eviction. The lowest rank is evicted first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionRank {
    client: IdleClient,
    idle_since: Instant,
}

/// What is known of an idle client. The variants are in ascending order of the cost of evicting
/// such a client.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum IdleClient {
    /// Has sent nothing since it was accepted.
    Silent,
    /// Has been served before. If the client sends a request while its connection is being closed,
    /// it resends the request on a new connection.
    Served,
    /// Has just been accepted. Its first request may be on its way and would be lost.
    New,
}

/// Makes room for a new connection by closing an idle one. If connections are closing already,
/// closes no further one, but aborts the one that has been closing for the longest if that is
/// longer than [`CLOSING_GRACE`].
pub(super) fn evict_one<'a>(
    connections: impl Iterator<Item = &'a Rc<Connection>> + Clone,
    reason: EvictionReason,
) {
    match longest_closing(connections.clone()) {
        Some((connection, since)) if Instant::now() > since + CLOSING_GRACE => connection.abort(),
        Some(_) => {}
        None => close_first_idle(connections, reason),
    }
}

/// Returns the connection that has been closing for the longest, and since when.
fn longest_closing<'a>(
    connections: impl Iterator<Item = &'a Rc<Connection>>,
) -> Option<(&'a Rc<Connection>, Instant)> {
    connections
        .filter_map(|connection| Some((connection, connection.closing_since()?)))
        .min_by_key(|(_, since)| *since)
}

/// Closes the first idle connection, in the order of eviction, that has nothing to read.
fn close_first_idle<'a>(
    connections: impl Iterator<Item = &'a Rc<Connection>>,
    reason: EvictionReason,
) {
    let mut idle: Vec<_> = connections
        .filter_map(|connection| Some((rank(connection, reason)?, connection)))
        .collect();
    idle.sort_unstable_by_key(|(rank, _)| *rank);
    // Each check makes a system call, so connections are checked only until one can be closed.
    let first = idle
        .iter()
        .find(|(_, connection)| connection.has_nothing_to_read());
    if let Some((_, connection)) = first {
        connection.close();
    }
}

/// Returns the rank of a connection, if it is idle.
fn rank(connection: &Connection, reason: EvictionReason) -> Option<EvictionRank> {
    let idle_since = connection.idle_since()?;
    Some(EvictionRank {
        client: idle_client(connection, reason),
        idle_since,
    })
}

/// Returns what is known of the client of an idle connection.
fn idle_client(connection: &Connection, reason: EvictionReason) -> IdleClient {
    let is_new = connection.age() < FIRST_REQUEST_DELAY;
    if connection.has_read_request_head() {
        IdleClient::Served
    } else if is_new && reason == EvictionReason::OutOfDescriptors {
        IdleClient::New
    } else {
        IdleClient::Silent
    }
}
