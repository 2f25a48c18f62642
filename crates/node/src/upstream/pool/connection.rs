//! Connections to endpoints.

use crate::socket::SocketHandle;
use crate::upstream::pool::epoch::Epoch;
use crate::upstream::pool::error::CheckoutError;
use crate::upstream::pool::limit::ConnectionPermit;
use crate::upstream::pool::trailing_bytes::{Trailing, TrailingBytes};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use ottertiller_balancer::EndpointId;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::AbortHandle;

/// The result of a checkout or a dial.
pub(super) type CheckoutResult = Result<Connection, CheckoutError>;

/// A connection to an endpoint. Dropping it closes it at once, even during an exchange.
pub(crate) struct Connection {
    /// The endpoint to which it leads.
    pub endpoint: EndpointId,
    /// The address that was dialled.
    pub address: SocketAddr,
    /// The endpoint's epoch when the connection was dialled.
    pub epoch: Epoch,
    /// The end of its cool-down after a response, on the node's clock. It carries no further
    /// request before that.
    pub cooling_until: Duration,
    /// Sends a request on it.
    pub sender: SendRequest<Full<Bytes>>,
    /// Inspects its TCP stream.
    pub(super) socket: SocketHandle,
    /// What its HTTP layer found behind the last response when it ended.
    pub(super) trailing_bytes: TrailingBytes,
    /// The task that runs its HTTP layer.
    pub(super) task: AbortHandle,
    /// Its share of the connection limit, which is returned when the connection is dropped.
    pub(super) _permit: ConnectionPermit,
}

impl Connection {
    /// Returns whether the connection may carry a request: it is open and has no unread bytes.
    /// Bytes that arrived after the last response would be read as the response to the next
    /// request.
    pub(crate) fn is_usable(&self) -> bool {
        !self.sender.is_closed() && self.socket.has_nothing_to_read()
    }

    /// Returns what the endpoint has sent behind the response that was read last, as far as it has
    /// arrived.
    pub(crate) fn trailing(&self) -> Trailing {
        match self.trailing_bytes.get() {
            Trailing::Nothing if self.socket.has_bytes_to_read() => Trailing::Unread,
            trailing => trailing,
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
