//! The registry of client connections: their limit, their timeouts, and the eviction of idle ones.

use super::connection::{Connection, Eviction};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// How often timeouts are enforced.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a closing connection may take before it is aborted, if the registry is full.
const EVICTION_GRACE: Duration = Duration::from_millis(10);

/// All open client connections.
pub struct ConnectionRegistry {
    connections: RefCell<BTreeMap<u64, Rc<Connection>>>,
    last_id: Cell<u64>,
    max_connections: usize,
    /// Notified when a connection has ended, or can be evicted while the registry is full.
    changed: Notify,
}

impl ConnectionRegistry {
    /// An empty registry.
    pub fn new(max_connections: usize) -> Self {
        ConnectionRegistry {
            connections: RefCell::default(),
            last_id: Cell::new(0),
            max_connections,
            changed: Notify::new(),
        }
    }

    /// Registers a connection until the guard is dropped.
    pub fn register(self: &Rc<Self>, connection: Rc<Connection>) -> Registration {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        self.connections.borrow_mut().insert(id, connection);
        Registration {
            registry: self.clone(),
            id,
        }
    }

    /// Whether the limit is reached.
    pub fn is_full(&self) -> bool {
        self.connections.borrow().len() >= self.max_connections
    }

    /// A connection has fallen idle, and can be evicted if the registry is full.
    pub fn notify_idle(&self) {
        if self.is_full() {
            self.changed.notify_one();
        }
    }

    /// Waits until a connection has ended, or can be evicted.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Waits until no connection is left.
    pub async fn wait_until_empty(&self) {
        while !self.connections.borrow().is_empty() {
            self.changed().await;
        }
    }

    /// Makes room for a new connection by closing an idle one, unless one is closing already.
    pub fn evict_one(&self, eviction: Eviction) {
        let connections = self.connections.borrow();
        let closing = connections
            .values()
            .filter(|connection| connection.closing_since().is_some());
        match closing.min_by_key(|connection| connection.closing_since()) {
            Some(connection) => abort_if_overdue(connection),
            None => close_first_idle(connections.values(), eviction),
        }
    }

    /// Closes all idle connections. The others close with their next response.
    pub fn shut_down_idle(&self) {
        let connections = self.connections.borrow();
        for connection in connections.values() {
            if connection.idle_since().is_some() && connection.has_nothing_to_read() {
                connection.shut_down_gracefully();
            }
        }
    }

    /// Enforces the timeouts of all connections, forever.
    pub async fn enforce_timeouts(self: Rc<Self>) {
        loop {
            sleep(TIMEOUT_CHECK_INTERVAL).await;
            let now = Instant::now();
            for connection in self.connections.borrow().values() {
                connection.enforce_timeouts(now);
            }
        }
    }
}

fn abort_if_overdue(closing: &Connection) {
    let is_overdue = closing
        .closing_since()
        .is_some_and(|since| Instant::now() > since + EVICTION_GRACE);
    if is_overdue {
        closing.abort();
    }
}

fn close_first_idle<'a>(connections: impl Iterator<Item = &'a Rc<Connection>>, eviction: Eviction) {
    let mut idle = Vec::new();
    for connection in connections {
        if let Some(rank) = connection.eviction_rank(eviction) {
            idle.push((rank, connection));
        }
    }
    idle.sort_unstable_by_key(|(rank, _)| *rank);
    // Each check is a system call, so it is made in this order and only until one succeeds.
    if let Some((_, connection)) = idle
        .iter()
        .find(|(_, connection)| connection.has_nothing_to_read())
    {
        connection.close();
    }
}

/// The entry of a connection, removed when this is dropped.
pub struct Registration {
    registry: Rc<ConnectionRegistry>,
    id: u64,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.registry.connections.borrow_mut().remove(&self.id);
        self.registry.changed.notify_one();
    }
}
