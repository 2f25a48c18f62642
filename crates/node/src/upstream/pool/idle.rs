//! The idle connections to one endpoint.

use crate::upstream::pool::connection::Connection;
use std::time::Duration;

/// An idle connection.
struct IdleConnection {
    connection: Connection,
    /// When it became idle, on the node's clock.
    idle_since: Duration,
}

impl IdleConnection {
    /// Returns whether the connection has been idle for `idle_timeout` or longer.
    fn has_expired(&self, now: Duration, idle_timeout: Duration) -> bool {
        now.saturating_sub(self.idle_since) >= idle_timeout
    }
}

/// Idle connections, in the order in which they became idle.
#[derive(Default)]
pub(super) struct IdleConnections(Vec<IdleConnection>);

impl IdleConnections {
    /// Adds a connection that becomes idle at `now`.
    pub(super) fn push(&mut self, connection: Connection, now: Duration) {
        self.0.push(IdleConnection {
            connection,
            idle_since: now,
        });
    }

    /// Takes the most recently used connection that has cooled down, is usable and has not expired.
    /// Closes the unusable and expired connections that it encounters before that one.
    pub(super) fn take_usable(
        &mut self,
        now: Duration,
        idle_timeout: Duration,
    ) -> Option<Connection> {
        for index in (0..self.0.len()).rev() {
            if now < self.0[index].connection.cooling_until {
                continue;
            }
            let idle = self.0.remove(index);
            if idle.connection.is_usable() && !idle.has_expired(now, idle_timeout) {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Closes expired connections, and removes those that their endpoint has closed.
    pub(super) fn evict_expired(&mut self, now: Duration, idle_timeout: Duration) {
        self.0.retain(|idle| {
            !idle.connection.sender.is_closed() && !idle.has_expired(now, idle_timeout)
        });
    }

    /// Returns when the longest idle connection became idle; `None` if there is none.
    pub(super) fn longest_idle_since(&self) -> Option<Duration> {
        self.0.first().map(|idle| idle.idle_since)
    }

    /// Closes the longest idle connection; returns false if there is none.
    pub(super) fn close_longest_idle(&mut self) -> bool {
        if self.0.is_empty() {
            return false;
        }
        self.0.remove(0);
        true
    }

    /// Closes all idle connections.
    pub(super) fn close_all(&mut self) {
        self.0.clear();
    }

    /// Returns the number of idle connections.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }
}
