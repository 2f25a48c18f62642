//! The idle connections to one endpoint.

use crate::upstream::pool::connection::Connection;
use std::time::Duration;

/// A connection that is idle.
struct IdleConnection {
    connection: Connection,
    /// When it became idle, on the node's clock.
    since: Duration,
}

impl IdleConnection {
    /// Returns whether the connection has been idle for too long at `now`.
    fn has_expired(&self, now: Duration, idle_timeout: Duration) -> bool {
        now.saturating_sub(self.since) >= idle_timeout
    }
}

/// Idle connections, the most recently used last.
#[derive(Default)]
pub struct IdleConnections(Vec<IdleConnection>);

impl IdleConnections {
    /// Adds a connection that is idle from `now` on.
    pub fn push(&mut self, connection: Connection, now: Duration) {
        self.0.push(IdleConnection {
            connection,
            since: now,
        });
    }

    /// Takes the most recently used connection that has cooled down and may carry a request. Closes
    /// those that it finds unusable on the way.
    pub fn take_usable(&mut self, now: Duration, idle_timeout: Duration) -> Option<Connection> {
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

    /// Closes the connections that have been idle for too long, and forgets those that the endpoint
    /// has closed.
    pub fn evict_expired(&mut self, now: Duration, idle_timeout: Duration) {
        self.0.retain(|idle| {
            !idle.connection.sender.is_closed() && !idle.has_expired(now, idle_timeout)
        });
    }

    /// Returns since when the connection has been idle that is first in line to be closed.
    pub fn longest_idle_since(&self) -> Option<Duration> {
        self.0.first().map(|idle| idle.since)
    }

    /// Closes the connection that has been idle for longest; returns false if there is none.
    pub fn close_longest_idle(&mut self) -> bool {
        if self.0.is_empty() {
            return false;
        }
        self.0.remove(0);
        true
    }

    /// Closes all idle connections.
    pub fn close_all(&mut self) {
        self.0.clear();
    }

    /// Returns the number of idle connections.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.0.len()
    }
}
