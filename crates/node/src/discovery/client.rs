//! The HTTP client of the discovery service, which watches the endpoint list.

use crate::discovery::error::DiscoveryError;
use crate::discovery::framing::{ListFramer, WatchItem};
use crate::discovery::list_deadline::ListDeadline;
use crate::socket::{self, Socket};
use bytes::Bytes;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::timeout;

/// The path of the endpoint list.
const LIST_PATH: &str = "/registry/instances";

/// Calls the discovery service. Each call has its own connection.
pub(super) struct DiscoveryClient {
    address: SocketAddr,
    connect_timeout: Duration,
}

impl DiscoveryClient {
    /// Creates a client of the discovery service at `address`.
    pub(super) fn new(address: SocketAddr, connect_timeout: Duration) -> Self {
        DiscoveryClient {
            address,
            connect_timeout,
        }
    }

    /// Sends further calls to `address`.
    pub(super) fn set_address(&mut self, address: SocketAddr) {
        self.address = address;
    }

    /// Opens a watch, which begins with the changes after `version`, the version that the node has.
    pub(super) async fn watch(&self, version: u64) -> Result<Watch, DiscoveryError> {
        let deadline = ListDeadline::start();
        let path = format!("{LIST_PATH}?stream=1&index={version}");
        let call = deadline.limit_call(self.exchange(&path)).await?;
        Ok(Watch {
            body: call.response.into_body(),
            framer: ListFramer::default(),
            deadline,
            _connection: call.connection,
        })
    }

    /// Connects, sends a request and waits until its response begins.
    async fn exchange(&self, path: &str) -> Result<Call, DiscoveryError> {
        let connected = timeout(self.connect_timeout, socket::connect(self.address)).await;
        let stream = connected
            .map_err(|_| DiscoveryError::ConnectTimedOut)?
            .map_err(DiscoveryError::Connect)?;
        let (socket, _) = Socket::new(stream);
        let (mut sender, connection_task) = http1::handshake(socket).await?;
        let connection = Connection(spawn_local(async move {
            let _ = connection_task.await; // the request or the response body reports the error
        }));
        let request = Request::get(path).header(HOST, self.address.to_string());
        let response = sender
            .send_request(request.body(Empty::<Bytes>::new())?)
            .await?;
        match response.status() {
            StatusCode::OK => Ok(Call {
                response,
                connection,
            }),
            status => Err(DiscoveryError::UnexpectedStatus(status)),
        }
    }
}

/// A call whose response has begun.
struct Call {
    response: Response<Incoming>,
    connection: Connection,
}

/// A connection to discovery. Dropping it closes it.
struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A watch on the endpoint list. Dropping it ends the watch.
pub(super) struct Watch {
    body: Incoming,
    framer: ListFramer,
    /// The time limit of the next list or heartbeat.
    deadline: ListDeadline,
    _connection: Connection,
}

impl Watch {
    /// Returns the text of the next list or delta, once all of it has arrived.
    pub(super) async fn next_list(&mut self) -> Result<Bytes, DiscoveryError> {
        loop {
            match self.framer.next_item()? {
                Some(WatchItem::List(list)) => {
                    self.deadline = ListDeadline::start();
                    return Ok(list);
                }
                Some(WatchItem::Heartbeat) => self.deadline = ListDeadline::start(),
                None => {
                    let part = self
                        .deadline
                        .next_part(&mut self.body)
                        .await?
                        .ok_or(DiscoveryError::StreamEnded)?;
                    self.framer.push(&part);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
