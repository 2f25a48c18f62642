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
    /// A new client has sent something while the registry is full. Other new clients are not
    /// evicted, since they turn into other ones soon.
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
        .filter_map(|connection| Some((rank(connection)?, connection)))
        .collect();
    candidates.sort_unstable_by_key(|(rank, _)| *rank);
    let last = candidates.last().map(|(rank, _)| rank.client);
    candidates.retain(|(rank, _)| may_evict(rank.client, reason, last));
    // Each check makes a system call, so connections are checked only until one can be evicted.
    let first = candidates
        .iter()
        .find(|(_, connection)| connection.has_nothing_to_read());
    if let Some((_, connection)) = first {
        connection.evict();
    }
}

/// Returns whether a client may be evicted for this reason. `last` is the client that would be
/// evicted last. If that is a new one, it may soon turn out to be silent, and can then be evicted
/// instead of one that is served.
fn may_evict(client: ClientActivity, reason: EvictionReason, last: Option<ClientActivity>) -> bool {
    match reason {
        EvictionReason::OutOfDescriptors => true,
        EvictionReason::RegistryFull => {
            client <= ClientActivity::Stalled || last != Some(ClientActivity::New)
        }
    }
}

/// Returns the rank of a connection, if it can be evicted.
fn rank(connection: &Connection) -> Option<EvictionRank> {
    if let Some(quiet_since) = connection.reading_request_since() {
        return reading_rank(connection, quiet_since);
    }
    let quiet_since = connection.idle_since()?;
    Some(EvictionRank {
        client: idle_client(connection)?,
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

/// Returns what the client of an idle connection has done, or `None` if its first bytes have
/// arrived but have not been read.
fn idle_client(connection: &Connection) -> Option<ClientActivity> {
    if connection.has_read_request_head() {
        Some(ClientActivity::Served)
    } else if connection.age() >= ARRIVAL_DELAY {
        Some(ClientActivity::Silent)
    } else {
        connection
            .has_nothing_to_read()
            .then_some(ClientActivity::New)
    }
}
