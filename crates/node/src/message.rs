//! The messages between the downstream side, the driver, the upstream side and discovery. This
//! module depends on none of them.

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
pub(crate) enum DriverMessage {
    /// A client's request has been received and admitted.
    Request(Box<IncomingRequest>),
    /// The client of a request has disconnected.
    ClientDisconnected(RequestId),
    /// An attempt has ended.
    AttemptEnded(CompletedAttempt),
    /// A health check has ended.
    HealthCheckEnded(CompletedHealthCheck),
    /// The endpoint list has changed, or could not be fetched.
    EndpointList(EndpointListUpdate),
    /// The drain has timed out: every request that awaits its final response gets one now.
    Shutdown,
}

/// A request that the downstream side has admitted.
pub(crate) struct IncomingRequest {
    /// The request as the balancer sees it.
    pub request: NewRequest,
    /// When its last byte was read, as a time of the node's clock.
    pub received_at: Duration,
    /// What its attempts send to endpoints.
    pub upstream_request: UpstreamRequest,
    /// Sends its final response to the client's request handler.
    pub response_sender: oneshot::Sender<FinalResponse>,
}

/// The final response to a request. Each request gets exactly one.
#[derive(Debug)]
pub(crate) enum FinalResponse {
    /// Served by an endpoint, with this response body.
    Served(Bytes),
    /// Shed. The client may safely retry, after this delay if there is one.
    Shed(Option<Duration>),
    /// Failed. A retry may not be safe.
    Failed,
    /// No response by the deadline or the end of the drain. A retry may not be safe.
    TimedOut,
}

/// A request as its attempts send it to endpoints: the parts that are forwarded unchanged, and the
/// time limits on sending them. All attempts of a request share one.
pub(crate) struct UpstreamRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub path: PathAndQuery,
    /// The value of the X-Call-Id header.
    pub call_id: HeaderValue,
    /// The value of the Idempotency-Key header, if the client sent one.
    pub idempotency_key: Option<HeaderValue>,
    /// The body; `None` once no attempt may send the request any more.
    pub body: RefCell<Option<Bytes>>,
    /// When the client stops waiting, as a time of the node's clock.
    pub deadline: Duration,
    /// How long endpoints remember the idempotency key, from the first byte of the first attempt.
    pub idempotency_window: Option<Duration>,
    /// When the first attempt's request was passed to the connection for writing, which is before
    /// its first byte was written; `None` before that.
    pub first_sent_at: Cell<Option<Duration>>,
}

impl UpstreamRequest {
    /// Returns the body to send, or `None` once the request has its final response or its client
    /// has disconnected. No attempt sends the request after that.
    pub(crate) fn body(&self) -> Option<Bytes> {
        self.body.borrow().clone()
    }

    /// Discards the body, so that no further attempt sends the request. The body's memory lease
    /// ends when the clones that are being written have been written or dropped.
    pub(crate) fn discard_body(&self) {
        self.body.replace(None);
    }
}

/// Why an attempt is stopped.
pub(crate) enum StopReason {
    /// Its timeout has passed.
    TimedOut,
    /// The balancer has cancelled it.
    Cancelled,
}

/// Identifies an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AttemptId {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The position of the attempt among those of the request, from 0.
    pub number: u32,
}

/// An attempt that has ended.
pub(crate) struct CompletedAttempt {
    /// The id of the attempt.
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
    /// When it started, as a time of the node's clock.
    pub started_at: Duration,
    /// The load report that came with the response, if any.
    pub load_report: Option<LoadReport>,
}

/// An endpoint list entry, with the endpoint's address.
#[derive(Clone, Debug)]
pub(crate) struct ListedEndpoint {
    /// The entry as the balancer sees it.
    pub entry: EndpointEntry,
    /// The address on which the endpoint listens.
    pub address: SocketAddr,
}

/// An endpoint list update.
pub(crate) struct EndpointListUpdate {
    /// Whether the endpoints are the whole list or changes to it, or the list could not be fetched.
    pub kind: ListKind,
    /// The listed or changed endpoints; none if the list could not be fetched.
    pub endpoints: Vec<ListedEndpoint>,
}

/// A command from the driver to discovery, on behalf of the balancer.
pub(crate) enum DiscoveryCommand {
    /// Watch the endpoint list for changes.
    Subscribe,
    /// Stop watching the endpoint list.
    Unsubscribe,
}
