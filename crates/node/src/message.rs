//! The messages between the parts of the node. This module depends on none of them.

use bytes::Bytes;
use hyper::Method;
use hyper::header::HeaderValue;
use hyper::http::uri::PathAndQuery;
use ottertiller_balancer::{
    EndpointEntry, EndpointId, ListKind, LoadReport, NewRequest, Outcome, RequestId,
};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;

/// A message to the driver.
pub enum Message {
    /// A client's request has been read and admitted.
    Request(Box<IncomingRequest>),
    /// The client of a request has disconnected.
    ClientDisconnected(RequestId),
    /// An attempt has ended.
    AttemptEnded(AttemptResult),
    /// A health check has ended.
    HealthCheckEnded(HealthCheckResult),
    /// The endpoint list has changed, or could not be fetched.
    EndpointList(EndpointListUpdate),
    /// The node ends: every request in flight gets its final response now.
    Shutdown,
}

/// A request that the downstream side has admitted.
pub struct IncomingRequest {
    /// The request as the balancer sees it.
    pub request: NewRequest,
    /// When its last byte was read.
    pub received: Duration,
    /// What its attempts forward.
    pub forward: ForwardedRequest,
    /// Where its final response goes.
    pub reply: oneshot::Sender<FinalResponse>,
}

/// The one final response to a request.
#[derive(Debug)]
pub enum FinalResponse {
    /// An endpoint's response body.
    Served(Bytes),
    /// Rejected; the client may safely retry, after this delay if it is given one.
    Shed(Option<Duration>),
    /// Failed, with no promise that a retry is safe.
    Failed,
    /// Unanswered at the deadline, with no promise that a retry is safe.
    TimedOut,
}

/// What all attempts of a request share: the parts that are forwarded unchanged, and the limits on
/// sending them.
pub struct ForwardedRequest {
    /// The request's method.
    pub method: Method,
    /// The request's path and query.
    pub path: PathAndQuery,
    /// The request's X-Call-Id.
    pub call_id: HeaderValue,
    /// The request's Idempotency-Key.
    pub idempotency_key: Option<HeaderValue>,
    /// The request's body; `None` once nothing more may be sent.
    pub body: RefCell<Option<Bytes>>,
    /// When the client stops waiting.
    pub deadline: Duration,
    /// How long endpoints remember the idempotency key, from the first byte of the first attempt.
    pub idempotency_window: Option<Duration>,
    /// When the first byte of the first attempt was written.
    pub first_byte: Cell<Option<Duration>>,
}

impl ForwardedRequest {
    /// The body to be sent; `None` once the request has its final response or its client has
    /// disconnected: then nothing more is sent for it.
    pub fn body(&self) -> Option<Bytes> {
        self.body.borrow().clone()
    }

    /// Ends all sending. The body's lease of the memory budget ends as soon as what is being
    /// written now has been written or dropped.
    pub fn close(&self) {
        self.body.replace(None);
    }
}

/// Why an attempt is stopped.
pub enum StopReason {
    /// Its timeout has passed.
    TimedOut,
    /// The balancer has cancelled it.
    Cancelled,
}

/// How an attempt ended.
pub struct AttemptResult {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt among those of the request, from 0.
    pub number: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// The load report that came with the response.
    pub report: Option<LoadReport>,
    /// The body of the response, if the request was served.
    pub body: Option<Bytes>,
}

/// How a health check ended.
pub struct HealthCheckResult {
    /// The endpoint that was checked.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// When it started.
    pub started: Duration,
    /// The load report that came with the response.
    pub report: Option<LoadReport>,
}

/// An entry of the endpoint list, and where that endpoint listens.
#[derive(Clone, Debug)]
pub struct ListedEndpoint {
    /// The entry as the balancer sees it.
    pub entry: EndpointEntry,
    /// Where the endpoint listens.
    pub address: SocketAddr,
}

/// An update of the endpoint list.
pub struct EndpointListUpdate {
    /// Whether the endpoints are the whole list or changes to it.
    pub kind: ListKind,
    /// The endpoints.
    pub endpoints: Vec<ListedEndpoint>,
}

/// A command from the balancer to discovery.
pub enum DiscoveryCommand {
    /// Watch the list for changes.
    Subscribe,
    /// Stop watching it.
    Unsubscribe,
}
