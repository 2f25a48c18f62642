//! HTTP calls to discovery: fetching the endpoint list once, and watching it.

use crate::discovery::framing::{ListFramer, ListTooLong, MAX_LIST_BYTES};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::timeout;

const LIST_PATH: &str = "/registry/instances";
/// A watch sends something every 2 s; one that is silent for so long is broken, whatever TCP says. What it misses
/// counts as known 6 s after it fell silent, and what a call misses 6 s after discovery can be reached again: by then
/// the next list has to be in, with the pause before that call, its jitter and the call itself.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(4);

/// Why a call to discovery failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    #[error("not connected in time")]
    ConnectTimeout,
    #[error("cannot connect: {0}")]
    Connect(io::Error),
    #[error("silent")]
    Silent,
    #[error("answered {0}")]
    Status(StatusCode),
    #[error("it ended")]
    Ended,
    #[error(transparent)]
    TooLong(#[from] ListTooLong),
    #[error(transparent)]
    Http(#[from] hyper::Error),
    #[error(transparent)]
    InvalidRequest(#[from] hyper::http::Error),
    #[error("{0}")]
    Body(Box<dyn Error + Send + Sync>),
}

/// Calls discovery, with a connection for each call.
pub struct Client {
    address: SocketAddr,
    connect_timeout: Duration,
}

impl Client {
    /// A client of the discovery that listens at `address`.
    pub fn new(address: SocketAddr, connect_timeout: Duration) -> Self {
        Client { address, connect_timeout }
    }

    /// Calls go to this address from now on.
    pub fn set_address(&mut self, address: SocketAddr) {
        self.address = address;
    }

    /// The complete list, as text.
    pub async fn fetch_list(&self) -> Result<Bytes, ClientError> {
        let call = self.get(LIST_PATH).await?;
        let body = Limited::new(call.response.into_body(), MAX_LIST_BYTES).collect();
        let body = timeout(SILENCE_TIMEOUT, body).await.map_err(|_| ClientError::Silent)?;
        Ok(body.map_err(ClientError::Body)?.to_bytes())
    }

    /// Watches the list from the version that the node has.
    pub async fn watch(&self, version: u64) -> Result<Watch, ClientError> {
        let call = self.get(&format!("{LIST_PATH}?stream=1&index={version}")).await?;
        Ok(Watch {
            body: call.response.into_body(),
            framer: ListFramer::default(),
            _connection: call.connection,
        })
    }

    async fn get(&self, path: &str) -> Result<Call, ClientError> {
        timeout(SILENCE_TIMEOUT, self.exchange(path)).await.map_err(|_| ClientError::Silent)?
    }

    async fn exchange(&self, path: &str) -> Result<Call, ClientError> {
        let connected = timeout(self.connect_timeout, TcpStream::connect(self.address)).await;
        let stream = connected.map_err(|_| ClientError::ConnectTimeout)?.map_err(ClientError::Connect)?;
        let (mut sender, driver) = http1::handshake(TokioIo::new(stream)).await?;
        let connection = Connection(spawn_local(async move {
            let _ = driver.await; // an error shows in the response
        }));
        let request = Request::get(path).header(HOST, self.address.to_string());
        let response = sender.send_request(request.body(Empty::<Bytes>::new())?).await?;
        match response.status() {
            StatusCode::OK => Ok(Call { response, connection }),
            status => Err(ClientError::Status(status)),
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
    _connection: Connection,
}

impl Watch {
    /// The text of the next list or change of the list.
    pub async fn next_list(&mut self) -> Result<Bytes, ClientError> {
        loop {
            if let Some(list) = self.framer.next_list()? {
                return Ok(list);
            }
            let frame = timeout(SILENCE_TIMEOUT, self.body.frame()).await.map_err(|_| ClientError::Silent)?;
            let frame = frame.ok_or(ClientError::Ended)??;
            if let Ok(data) = frame.into_data() {
                self.framer.push(&data);
            }
        }
    }
}

#[cfg(test)]
#[path = "client_tests.rs"]
mod tests;
