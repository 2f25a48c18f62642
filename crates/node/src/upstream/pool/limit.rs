//! The limit on the number of open connections to endpoints.

use std::cell::Cell;
use std::rc::Rc;

/// The limit on open connections. A connection counts from the start of its dial.
pub(super) struct ConnectionLimit {
    open: Rc<Cell<usize>>,
    max: usize,
}

impl ConnectionLimit {
    /// Creates a limit of `max` connections.
    pub(super) fn new(max: usize) -> Self {
        ConnectionLimit {
            open: Rc::default(),
            max,
        }
    }

    /// Returns a permit for one more connection, unless the limit is reached.
    pub(super) fn try_acquire(&self) -> Option<ConnectionPermit> {
        if self.open.get() >= self.max {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(ConnectionPermit {
            open: self.open.clone(),
        })
    }

    /// Returns how many permits are held.
    #[cfg(test)]
    pub(super) fn open_count(&self) -> usize {
        self.open.get()
    }
}

/// A permit to have one connection open. Dropping it returns it to the limit.
pub(super) struct ConnectionPermit {
    open: Rc<Cell<usize>>,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}
