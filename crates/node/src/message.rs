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
pub(crate) enum Message {
    /// A client's request has been read and admitted.
    Request(Box<IncomingRequest>),
    /// The client of a request has disconnected.
    ClientDisconnected(RequestId),
    /// An attempt has ended.
    AttemptEnded(CompletedAttempt),
    /// A health check has ended.
    HealthCheckEnded(CompletedHealthCheck),
    /// The endpoint list has changed, or could not be fetched.
    EndpointList(EndpointListUpdate),
    /// The node shuts down: every request that awaits its final response gets it now.
    Shutdown,
}

/// A request that the downstream side has admitted.
pub(crate) struct IncomingRequest {
    /// The request as the balancer sees it.
    pub request: NewRequest,
    /// When its last byte was read, as the node's clock shows it.
    pub received_at: Duration,
    /// What its attempts send to endpoints.
    pub upstream_request: UpstreamRequest,
    /// Takes its final response.
    pub response_sender: oneshot::Sender<FinalResponse>,
}

/// The one final response to a request.
#[derive(Debug)]
pub(crate) enum FinalResponse {
    /// Served by an endpoint, with this response body.
    Served(Bytes),
    /// Rejected; the client may safely retry, after this delay if it is given one.
    Shed(Option<Duration>),
    /// Failed, with no promise that a retry is safe.
    Failed,
    /// No response by the deadline, with no promise that a retry is safe.
    TimedOut,
}

/// A request as its attempts send it to endpoints: the parts that are forwarded unchanged, and the
/// limits on sending them. All attempts share one.
pub(crate) struct UpstreamRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub path: PathAndQuery,
    /// The value of X-Call-Id.
    pub call_id: HeaderValue,
    /// The value of Idempotency-Key, if the client sent one.
    pub idempotency_key: Option<HeaderValue>,
    /// The body; `None` once no attempt may send the request any more.
    pub body: RefCell<Option<Bytes>>,
    /// When the client stops waiting, as the node's clock shows it.
    pub deadline: Duration,
    /// How long endpoints remember the idempotency key, from the first byte of the first attempt.
    pub idempotency_window: Option<Duration>,
    /// When the first attempt's request was handed over for writing; `None` before that. No byte of
    /// it was written earlier.
    pub first_sent_at: Cell<Option<Duration>>,
}

impl UpstreamRequest {
    /// Returns the body to send; `None` once the request has its final response or its client has
    /// disconnected, after which nothing more is sent for it.
    pub(crate) fn body(&self) -> Option<Bytes> {
        self.body.borrow().clone()
    }

    /// Discards the body, so that no further attempt sends the request. The body's lease of the
    /// memory budget ends once the copies that are being written have been written or dropped.
    pub(crate) fn discard_body(&self) {
        self.body.replace(None);
    }
}

/// The reason for which an attempt is stopped.
pub(crate) enum StopReason {
    /// Its timeout has passed.
    TimedOut,
    /// The balancer has cancelled it.
    Cancelled,
}

/// Identifies an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AttemptId {
    /// The request that is attempted.
    pub request: RequestId,
    /// The position of the attempt among those of the request, from 0.
    pub number: u32,
}

/// An attempt that has ended.
pub(crate) struct CompletedAttempt {
    /// Identifies the attempt.
    pub id: AttemptId,
    /// How it ended.
    pub outcome: Outcome,
    /// The load report that came with the response, if any.
    pub load_report: Option<LoadReport>,
    /// The body of the response, if the request was served.
    pub response_body: Option<Bytes>,
}

/// A health check that has ended.
pub(crate) struct CompletedHealthCheck {
    /// The endpoint that was checked.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// When it started, as the node's clock shows it.
    pub started_at: Duration,
    /// The load report that came with the response, if any.
    pub load_report: Option<LoadReport>,
}

/// An entry of the endpoint list, with the endpoint's address.
#[derive(Clone, Debug)]
pub(crate) struct ListedEndpoint {
    /// The entry as the balancer sees it.
    pub entry: EndpointEntry,
    /// The address on which the endpoint listens.
    pub address: SocketAddr,
}

/// An update of the endpoint list.
pub(crate) struct EndpointListUpdate {
    /// Says whether the endpoints are the whole list or changes to it, or that the list could not
    /// be fetched.
    pub kind: ListKind,
    /// The listed or changed endpoints; none if the list could not be fetched.
    pub endpoints: Vec<ListedEndpoint>,
}

/// A command from the balancer to discovery.
pub(crate) enum DiscoveryCommand {
    /// Watch the endpoint list for changes.
    Subscribe,
    /// Stop watching the endpoint list.
    Unsubscribe,
}
