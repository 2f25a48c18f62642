//! Connections to endpoints, and the limit on how many are open at once.

use crate::socket::Handle;
use crate::upstream::pool::epoch::Epoch;
use crate::upstream::pool::error::CheckoutError;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use ottertiller_balancer::EndpointId;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::AbortHandle;

/// A connection, or why there is none.
pub type CheckoutResult = Result<Connection, CheckoutError>;

/// The limit on open connections, counted from the start of their dials.
pub struct ConnectionLimit {
    open: Rc<Cell<usize>>,
    max: usize,
}

impl ConnectionLimit {
    /// A limit of `max` connections.
    pub fn new(max: usize) -> Self {
        ConnectionLimit {
            open: Rc::default(),
            max,
        }
    }

    /// A permit for one more connection, unless the limit is reached.
    pub fn try_acquire(&self) -> Option<ConnectionPermit> {
        if self.open.get() >= self.max {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(ConnectionPermit {
            open: self.open.clone(),
        })
    }

    /// How many permits are held.
    #[cfg(test)]
    pub fn get(&self) -> usize {
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

/// A connection to an endpoint. When dropped it closes at once, even in the middle of an exchange.
pub struct Connection {
    /// Where it leads.
    pub endpoint: EndpointId,
    /// The epoch of the endpoint that it was dialled for.
    pub epoch: Epoch,
    /// The end of its cool-down after a response: it carries no further request before that.
    pub cooling_until: Duration,
    /// Sends a request on it.
    pub sender: SendRequest<Full<Bytes>>,
    pub(super) socket: Handle,
    /// The task that drives it.
    pub(super) task: AbortHandle,
    pub(super) _permit: ConnectionPermit,
}

impl Connection {
    /// Returns whether the connection may carry a request. Bytes that arrived behind a response
    /// would be read as the next one.
    pub fn is_usable(&self) -> bool {
        !self.sender.is_closed() && self.socket.has_nothing_to_read()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
