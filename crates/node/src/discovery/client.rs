//! HTTP calls to discovery: watching the endpoint list.

use crate::discovery::error::ClientError;
use crate::discovery::framing::{ListFramer, WatchLine};
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

const LIST_PATH: &str = "/registry/instances";

/// Calls discovery, with a connection for each call.
pub struct Client {
    address: SocketAddr,
    connect_timeout: Duration,
}

impl Client {
    /// A client of the discovery that listens at `address`.
    pub fn new(address: SocketAddr, connect_timeout: Duration) -> Self {
        Client {
            address,
            connect_timeout,
        }
    }

    /// Calls go to this address from now on.
    pub fn set_address(&mut self, address: SocketAddr) {
        self.address = address;
    }

    /// Watches the list from the version that the node has.
    pub async fn watch(&self, version: u64) -> Result<Watch, ClientError> {
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

    async fn exchange(&self, path: &str) -> Result<Call, ClientError> {
        let connected = timeout(self.connect_timeout, socket::connect(self.address)).await;
        let stream = connected
            .map_err(|_| ClientError::ConnectTimedOut)?
            .map_err(ClientError::Connect)?;
        let (socket, _) = Socket::new(stream);
        let (mut sender, driver) = http1::handshake(socket).await?;
        let connection = Connection(spawn_local(async move {
            let _ = driver.await; // an error shows in the response
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
            status => Err(ClientError::UnexpectedStatus(status)),
        }
    }
}

/// A call that was answered.
struct Call {
    response: Response<Incoming>,
    connection: Connection,
}

/// A connection to discovery, which closes when it is dropped.
struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A watch on the endpoint list. It ends when it is dropped.
pub struct Watch {
    body: Incoming,
    framer: ListFramer,
    /// Of what comes next, a list or a heartbeat.
    deadline: ListDeadline,
    _connection: Connection,
}

impl Watch {
    /// The text of the next list or change of the list.
    pub async fn next_list(&mut self) -> Result<Bytes, ClientError> {
        loop {
            match self.framer.next_line()? {
                Some(WatchLine::List(list)) => {
                    self.deadline = ListDeadline::start();
                    return Ok(list);
                }
                Some(WatchLine::Heartbeat) => self.deadline = ListDeadline::start(),
                None => {
                    let part = self
                        .deadline
                        .next_part(&mut self.body)
                        .await?
                        .ok_or(ClientError::StreamEnded)?;
                    self.framer.push(&part);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
