//! Evicts client connections to make room for new ones: idle ones, and those on which a request has
//! arrived only in part.

use super::connection::Connection;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long the next bytes of a client may take to arrive, if it sends its first request right after
/// connecting, or a request in several parts.
const ARRIVAL_DELAY: Duration = Duration::from_millis(100);
/// How long a closing connection may take to end before it is aborted to make room.
const CLOSING_GRACE: Duration = Duration::from_millis(10);

/// Why a connection is evicted. The order of eviction depends on it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum EvictionReason {
    /// A client has connected while the registry is full. Silent clients are evicted first, even
    /// new ones, so that many of them cannot displace clients that are served.
    RegistryFull,
    /// The process has no file descriptor left. New clients are evicted last.
    OutOfDescriptors,
}

/// The position of a connection in the order of eviction. The lowest rank is evicted first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionRank {
    client: ClientActivity,
    quiet_since: Instant,
}

/// What a client has done that may be evicted. The variants are in ascending order of the cost of
/// evicting such a client.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ClientActivity {
    /// Has sent nothing since it was accepted.
    Silent,
    /// Has sent a part of a request, and nothing for [`ARRIVAL_DELAY`]. The request is rejected.
    Stalled,
    /// Has been served before. If the client sends a request while its connection is being closed,
    /// it resends the request on a new connection.
    Served,
    /// Is sending a request. The request is rejected.
    Sending,
    /// Has just been accepted. Its first request may be on its way and would be lost.
    New,
}

/// Makes room for a new connection by evicting one. If connections are closing already, evicts no
/// further one, but aborts the one that has been closing for the longest if that is longer than
/// [`CLOSING_GRACE`].
pub(super) fn evict_one<'a>(
    connections: impl Iterator<Item = &'a Rc<Connection>> + Clone,
    reason: EvictionReason,
) {
    match longest_closing(connections.clone()) {
        Some((connection, since)) if Instant::now() > since + CLOSING_GRACE => connection.abort(),
        Some(_) => {}
        None => evict_first(connections, reason),
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

/// Evicts the first connection, in the order of eviction, that has nothing to read.
fn evict_first<'a>(connections: impl Iterator<Item = &'a Rc<Connection>>, reason: EvictionReason) {
    let mut candidates: Vec<_> = connections
        .filter_map(|connection| Some((rank(connection, reason)?, connection)))
        .collect();
    candidates.sort_unstable_by_key(|(rank, _)| *rank);
    // Each check makes a system call, so connections are checked only until one can be evicted.
    let first = candidates
        .iter()
        .find(|(_, connection)| connection.has_nothing_to_read());
    if let Some((_, connection)) = first {
        connection.evict();
    }
}

/// Returns the rank of a connection, if it can be evicted.
fn rank(connection: &Connection, reason: EvictionReason) -> Option<EvictionRank> {
    if let Some(quiet_since) = connection.reading_request_since() {
        return reading_rank(connection, quiet_since);
    }
    let quiet_since = connection.idle_since()?;
    Some(EvictionRank {
        client: idle_client(connection, reason),
        quiet_since,
    })
}

/// Returns the rank of a connection on which a part of a request has arrived. Such a request is
/// rejected, which is possible only if nothing else is still to be written.
fn reading_rank(connection: &Connection, quiet_since: Instant) -> Option<EvictionRank> {
    if !connection.is_flushed() {
        return None;
    }
    let client = if quiet_since.elapsed() < ARRIVAL_DELAY {
        ClientActivity::Sending
    } else {
        ClientActivity::Stalled
    };
    Some(EvictionRank {
        client,
        quiet_since,
    })
}

/// Returns what the client of an idle connection has done.
fn idle_client(connection: &Connection, reason: EvictionReason) -> ClientActivity {
    let is_new = connection.age() < ARRIVAL_DELAY;
    if connection.has_read_request_head() {
        ClientActivity::Served
    } else if is_new && reason == EvictionReason::OutOfDescriptors {
        ClientActivity::New
    } else {
        ClientActivity::Silent
    }
}
