//! Connections to endpoints.

use crate::socket::Handle;
use crate::upstream::pool::epoch::Epoch;
use crate::upstream::pool::error::CheckoutError;
use crate::upstream::pool::limit::ConnectionPermit;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use ottertiller_balancer::EndpointId;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::AbortHandle;

/// A connection, or why there is none.
pub(super) type CheckoutResult = Result<Connection, CheckoutError>;

/// A connection to an endpoint. When dropped it closes at once, even in the middle of an exchange.
pub(crate) struct Connection {
    /// Where it leads.
    pub endpoint: EndpointId,
    /// The address that it was dialled at.
    pub address: SocketAddr,
    /// The epoch of the endpoint that it was dialled for.
    pub epoch: Epoch,
    /// The end of its cool-down after a response, on the node's clock: it carries no further
    /// request before that.
    pub cooling_until: Duration,
    /// Sends a request on it.
    pub sender: SendRequest<Full<Bytes>>,
    /// Inspects its stream.
    pub(super) socket: Handle,
    /// The task that drives it.
    pub(super) task: AbortHandle,
    /// Returned to the limit when the connection is dropped.
    pub(super) _permit: ConnectionPermit,
}

impl Connection {
    /// Returns whether the connection may carry a request. Bytes that arrived behind a response
    /// would be read as the next one.
    pub(crate) fn is_usable(&self) -> bool {
        !self.sender.is_closed() && self.socket.has_nothing_to_read()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
