//! What the parts of the node tell one another. This module depends on none of them.

use bytes::Bytes;
use hyper::Method;
use hyper::header::HeaderValue;
use hyper::http::uri::PathAndQuery;
use ottertiller_balancer::{EndpointEntry, EndpointId, ListKind, LoadReport, NewRequest, Outcome, RequestId};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;

/// What reaches the dispatcher.
pub enum Message {
    /// A client's request was read whole.
    Request(Box<IncomingRequest>),
    /// The client of a request has disconnected.
    ClientDisconnected(RequestId),
    /// An attempt has ended.
    Attempt(AttemptResult),
    /// A health check has ended.
    HealthCheck(HealthCheckResult),
    /// Discovery has told of endpoints.
    EndpointList(EndpointListUpdate),
    /// The node shuts down: whoever is still owed an answer gets one.
    Shutdown,
}

/// A request that the downstream side has read whole.
pub struct IncomingRequest {
    /// What the balancer is told of it.
    pub new: NewRequest,
    /// When its last byte had come.
    pub received: Duration,
    /// What its attempts forward.
    pub forward: ForwardedRequest,
    /// Where its final answer goes.
    pub reply: oneshot::Sender<FinalAnswer>,
}

/// The one final answer to a request.
#[derive(Debug)]
pub enum FinalAnswer {
    /// An endpoint's response body.
    Served(Bytes),
    /// Rejected, with the time after which the client may retry, if it is told one.
    Shed(Option<Duration>),
    /// Failed, with no promise that it never ran.
    Failed,
    /// Unanswered when its time was up.
    TimedOut,
}

/// What all attempts of a request share: what is forwarded unchanged, and what binds them.
pub struct ForwardedRequest {
    pub method: Method,
    pub path: PathAndQuery,
    pub call_id: HeaderValue,
    pub idempotency_key: Option<HeaderValue>,
    /// `None` once nothing more may be sent.
    pub body: RefCell<Option<Bytes>>,
    /// When the client stops waiting.
    pub deadline: Duration,
    /// How long endpoints remember the idempotency key, from the first byte of the first attempt.
    pub idempotency_window: Option<Duration>,
    /// When the first attempt began to be written.
    pub first_byte: Cell<Option<Duration>>,
}

impl ForwardedRequest {
    /// The body to be sent; `None` once the request has its final answer or its client has disconnected: then
    /// nothing more is sent for it.
    pub fn body(&self) -> Option<Bytes> {
        self.body.borrow().clone()
    }

    /// Ends all sending. The body gives its part of the memory budget back as soon as what is being written now
    /// has gone.
    pub fn close(&self) {
        self.body.replace(None);
    }
}

/// Why an attempt is stopped.
pub enum StopReason {
    /// Its time-out has passed.
    TimedOut,
    /// The balancer has cancelled it.
    Cancelled,
}

/// How an attempt ended.
pub struct AttemptResult {
    pub id: RequestId,
    /// The number of the attempt, from 0.
    pub number: u32,
    pub outcome: Outcome,
    pub report: Option<LoadReport>,
    /// The response's body, if it was served.
    pub body: Option<Bytes>,
}

/// How a health check ended.
pub struct HealthCheckResult {
    pub endpoint: EndpointId,
    pub outcome: Outcome,
    /// When it began.
    pub sent: Duration,
    pub report: Option<LoadReport>,
}

/// An entry of the endpoint list, and where that endpoint listens.
#[derive(Clone, Debug)]
pub struct ListedEndpoint {
    pub entry: EndpointEntry,
    pub address: SocketAddr,
}

/// A change of the endpoint list, or the whole list.
pub struct EndpointListUpdate {
    pub kind: ListKind,
    pub endpoints: Vec<ListedEndpoint>,
}

/// What the balancer asks of discovery, where the endpoint list must be polled.
pub enum DiscoveryCommand {
    /// Watch for changes, or stop watching.
    Subscribe(bool),
    /// Fetch the whole list once.
    Fetch,
}
