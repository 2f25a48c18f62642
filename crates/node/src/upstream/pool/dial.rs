//! Dialling: opening connections to endpoints.

use crate::limits::READ_BUFFER_BYTES;
use crate::logging::log_rate_limited;
use crate::socket::{self, Socket, SocketHandle};
use crate::upstream::pool::Pool;
use crate::upstream::pool::connection::{CheckoutResult, Connection};
use crate::upstream::pool::epoch::Epoch;
use crate::upstream::pool::error::CheckoutError;
use crate::upstream::pool::limit::ConnectionPermit;
use crate::upstream::pool::trailing_bytes::{Trailing, TrailingBytes};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use ottertiller_balancer::EndpointId;
use ottertiller_error_chain::ErrorChain;
use rustix::io::Errno;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// A connection to open.
pub(super) struct Dial {
    /// The endpoint to connect to.
    pub endpoint: EndpointId,
    /// The endpoint's epoch when the dial was started.
    pub epoch: Epoch,
    /// The address on which the endpoint listens.
    pub address: SocketAddr,
    /// The connection's share of the connection limit.
    pub permit: ConnectionPermit,
}

/// Why a dial failed.
#[derive(Debug, thiserror::Error)]
enum DialError {
    /// This node or its host is out of file descriptors, memory or ports. The endpoint is not at
    /// fault.
    #[error("out of local resources")]
    LocalResources(#[source] io::Error),
    /// The endpoint could not be connected to.
    #[error("cannot connect")]
    Connect(#[source] io::Error),
    /// The connection was not established within its timeout.
    #[error("connect timed out")]
    TimedOut,
    /// The HTTP layer could not be set up on the connection.
    #[error("handshake failed")]
    Handshake(#[source] hyper::Error),
}

impl DialError {
    /// Classifies the error of a connect: a lack of local resources, or a failure to reach the
    /// endpoint.
    fn from_connect(error: io::Error) -> Self {
        match Errno::from_io_error(&error) {
            Some(
                Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM | Errno::ADDRNOTAVAIL,
            ) => DialError::LocalResources(error),
            _ => DialError::Connect(error),
        }
    }
}

impl From<DialError> for CheckoutError {
    fn from(error: DialError) -> Self {
        match error {
            DialError::LocalResources(_) => CheckoutError::LocalResources,
            DialError::Connect(_) | DialError::TimedOut | DialError::Handshake(_) => {
                CheckoutError::ConnectFailed
            }
        }
    }
}

impl Pool {
    /// Opens a connection in the background, and gives it to the attempt that has waited longest by
    /// then.
    pub(super) fn spawn_dial(self: &Rc<Self>, dial: Dial) {
        let pool = self.clone();
        spawn_local(async move {
            let endpoint = dial.endpoint;
            let epoch = dial.epoch;
            let result = pool.dial(dial).await;
            pool.finish_dial(endpoint, epoch, result);
        });
    }

    /// Opens a connection. If local resources are exhausted, closes the longest idle connection, so
    /// that the next dial may succeed.
    async fn dial(&self, dial: Dial) -> CheckoutResult {
        let address = dial.address;
        let result = connect(dial, self.options.connect_timeout).await;
        result.map_err(|error| {
            if let DialError::LocalResources(_) = error {
                let cause = ErrorChain(&error);
                log_rate_limited(format_args!(
                    "connection not opened: endpoint {address}: {cause}"
                ));
                self.endpoints.borrow_mut().close_longest_idle();
            }
            error.into()
        })
    }

    /// Releases the new connection to the pool, and fails the waiters for which no dial is left.
    fn finish_dial(&self, endpoint: EndpointId, epoch: Epoch, result: CheckoutResult) {
        match self.endpoints.borrow_mut().in_epoch_mut(endpoint, epoch) {
            Some(slot) => slot.dials_in_flight -= 1,
            // Since the dial started, the endpoint has moved, restarted, drained or been removed.
            // Its waiters failed at that time.
            None => return,
        }
        let failure = match result {
            Ok(connection) => {
                self.release_without_cooldown(connection);
                // Waiters without a dial remain only if this connection broke at once.
                CheckoutError::ConnectionClosed
            }
            Err(error) => error,
        };
        if let Some(slot) = self.endpoints.borrow_mut().get_mut(endpoint) {
            // A failed dial fails the longest waiting attempts, until no more wait than dials are
            // in flight.
            slot.waiters.remove_cancelled();
            slot.waiters.fail_excess(slot.dials_in_flight, failure);
        }
    }
}

/// Opens a connection within a timeout, and starts the task that runs its HTTP layer.
async fn connect(dial: Dial, connect_timeout: Duration) -> Result<Connection, DialError> {
    let connected = timeout(connect_timeout, socket::connect(dial.address)).await;
    let stream = connected
        .map_err(|_| DialError::TimedOut)?
        .map_err(DialError::from_connect)?;
    let (socket, handle) = Socket::new(stream);
    let handshake = http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(socket)
        .await;
    let (sender, connection_task) = handshake.map_err(DialError::Handshake)?;
    let trailing_bytes = TrailingBytes::default();
    let task = spawn_local(run_http(
        connection_task,
        handle.clone(),
        trailing_bytes.clone(),
    ));
    Ok(Connection {
        endpoint: dial.endpoint,
        address: dial.address,
        epoch: dial.epoch,
        cooling_until: Duration::ZERO,
        sender,
        socket: handle,
        trailing_bytes,
        task: task.abort_handle(),
        _permit: dial.permit,
    })
}

/// Runs a connection's HTTP layer until it ends, and records what the endpoint has sent behind the
/// last response.
async fn run_http(
    mut connection: http1::Connection<Socket, Full<Bytes>>,
    socket: SocketHandle,
    trailing_bytes: TrailingBytes,
) {
    // The exchange on the connection reports the error.
    let _ = poll_fn(|cx| connection.poll_without_shutdown(cx)).await;
    let has_unread = socket.has_bytes_to_read();
    let read = connection.into_parts().read_buf;
    trailing_bytes.set(match (read.is_empty(), has_unread) {
        (false, _) => Trailing::Read(read),
        (true, true) => Trailing::Unread,
        (true, false) => Trailing::Nothing,
    });
}
