//! The eviction of idle connections: for which reason, in which order, and how.

use super::connection::Connection;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long a connection counts as new. The first request of a client that sends it at once may
/// take this long to arrive.
const FIRST_REQUEST_DELAY: Duration = Duration::from_millis(100);
/// How long a connection that is closing already is waited for before it is aborted.
const CLOSING_GRACE: Duration = Duration::from_millis(10);

/// Why an idle connection is evicted. The reason decides the order.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum EvictionReason {
    /// A client has connected while the registry is full. Silent clients go first, however new they
    /// are: a crowd of them does not displace the clients that are served.
    RegistryFull,
    /// The process has no file descriptor left. Clients that have just been accepted go last.
    OutOfDescriptors,
}

/// The position of an idle connection in the order of eviction. The least rank is evicted first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionRank {
    client: IdleClient,
    idle_since: Instant,
}

/// What is known of an idle client, in ascending order of what its eviction costs.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum IdleClient {
    /// Has sent nothing since it was accepted.
    Silent,
    /// Has been served before. If a request crosses the end of its connection, the client sends it
    /// again on a new one.
    Served,
    /// Has just been accepted. Its first request may be on its way, and would be lost.
    New,
}

/// Makes room for a new connection by closing an idle one. If a connection is closing already,
/// closes no other, and aborts that one if it has been closing for longer than [`CLOSING_GRACE`].
pub fn evict_one<'a>(
    connections: impl Iterator<Item = &'a Rc<Connection>> + Clone,
    reason: EvictionReason,
) {
    match longest_closing(connections.clone()) {
        Some((connection, since)) if Instant::now() > since + CLOSING_GRACE => connection.abort(),
        Some(_) => {}
        None => close_first_idle(connections, reason),
    }
}

/// Returns the connection that has been closing for the longest, with the time at which it started
/// to.
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
    // Each check is a system call, so it is made in this order and only until one succeeds.
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
    if connection.has_sent_request() {
        IdleClient::Served
    } else if is_new && reason == EvictionReason::OutOfDescriptors {
        IdleClient::New
    } else {
        IdleClient::Silent
    }
}
