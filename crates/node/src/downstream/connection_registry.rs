//! The registry of client connections, which enforces their timeouts and knows their limit.

use super::connection::Connection;
use super::eviction::{self, EvictionReason};
use super::state_counts::StateCounts;
use super::timeouts;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// All open client connections.
pub(super) struct ConnectionRegistry {
    connections: RefCell<BTreeMap<u64, Rc<Connection>>>,
    last_id: Cell<u64>,
    max_connections: usize,
    /// Notified when a connection has ended, or can be evicted while the registry is full.
    changed: Notify,
}

impl ConnectionRegistry {
    /// Creates an empty registry that counts as full at `max_connections`.
    pub(super) fn new(max_connections: usize) -> Self {
        ConnectionRegistry {
            connections: RefCell::default(),
            last_id: Cell::new(0),
            max_connections,
            changed: Notify::new(),
        }
    }

    /// Registers a connection until the returned guard is dropped.
    pub(super) fn register(self: &Rc<Self>, connection: Rc<Connection>) -> RegistrationGuard {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        self.connections.borrow_mut().insert(id, connection);
        RegistrationGuard {
            registry: self.clone(),
            id,
        }
    }

    /// Returns whether the registry has reached its limit.
    pub(super) fn is_full(&self) -> bool {
        self.connections.borrow().len() >= self.max_connections
    }

    /// Returns the number of connections at which the registry counts as full.
    pub(super) fn max_connections(&self) -> usize {
        self.max_connections
    }

    /// Returns how many connections may still be added.
    pub(super) fn free_places(&self) -> usize {
        let connections = self.connections.borrow().len();
        self.max_connections.saturating_sub(connections)
    }

    /// Returns whether the registry is at or above this many connections over its limit.
    pub(super) fn exceeds_limit_by(&self, excess: usize) -> bool {
        self.connections.borrow().len() >= self.max_connections + excess
    }

    /// Notifies the registry that a connection has become idle or is closing. If the registry is
    /// full, the connection may now be evicted.
    pub(super) fn notify_evictable(&self) {
        if self.is_full() {
            self.changed.notify_one();
        }
    }

    /// Waits until a connection has ended, or can be evicted.
    pub(super) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Waits until no connection is left.
    pub(super) async fn wait_until_empty(&self) {
        while !self.connections.borrow().is_empty() {
            self.changed().await;
        }
    }

    /// Counts the connections by their state.
    pub(super) fn state_counts(&self) -> StateCounts {
        StateCounts::new(self.connections.borrow().values())
    }

    /// Makes room for a new connection by evicting one, unless one is closing already.
    pub(super) fn evict_one(&self, reason: EvictionReason) {
        eviction::evict_one(self.connections.borrow().values(), reason);
    }

    /// Closes all idle connections without unread bytes. The others close after their next
    /// response.
    pub(super) fn shut_down_idle(&self) {
        for connection in self.connections.borrow().values() {
            if connection.idle_since().is_some() && connection.has_nothing_to_read() {
                connection.shut_down_gracefully();
            }
        }
    }

    /// Enforces the timeouts of all connections. Never returns.
    pub(super) async fn enforce_timeouts(self: Rc<Self>) {
        loop {
            sleep(timeouts::CHECK_INTERVAL).await;
            let now = Instant::now();
            for connection in self.connections.borrow().values() {
                timeouts::enforce(connection, now);
            }
        }
    }
}

/// Keeps a connection registered until it is dropped.
pub(super) struct RegistrationGuard {
    registry: Rc<ConnectionRegistry>,
    id: u64,
}

impl Drop for RegistrationGuard {
    fn drop(&mut self) {
        self.registry.connections.borrow_mut().remove(&self.id);
        self.registry.changed.notify_one();
    }
}
