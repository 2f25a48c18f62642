//! The limit on how many connections to endpoints are open at once.

use std::cell::Cell;
use std::rc::Rc;

/// The limit on open connections, counted from the start of their dials.
pub struct ConnectionLimit {
    open: Rc<Cell<usize>>,
    max: usize,
}

impl ConnectionLimit {
    /// Returns a limit of `max` connections.
    pub fn new(max: usize) -> Self {
        ConnectionLimit {
            open: Rc::default(),
            max,
        }
    }

    /// Returns a permit for one more connection, unless the limit is reached.
    pub fn try_acquire(&self) -> Option<ConnectionPermit> {
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
    pub fn open_count(&self) -> usize {
        self.open.get()
    }
}

/// The right to have one connection open. It is returned when dropped.
pub struct ConnectionPermit {
    open: Rc<Cell<usize>>,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}
