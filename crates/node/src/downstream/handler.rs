//! Handles one request: checks and reads it, admits it, and waits for its final response.

use super::graceful_shutdown::ShutdownPhase;
use super::in_flight_call_ids::InFlightCallIds;
use super::options::DownstreamOptions;
use super::request_body;
use super::request_error::RequestError;
use super::request_parser::{self, ParsedRequest};
use super::response::{self, FullResponse};
use crate::clock::Clock;
use crate::limits::MAX_BODY_BYTES;
use crate::logging::log_peer;
use crate::memory_budget::Budget;
use crate::message::{FinalResponse, ForwardedRequest, IncomingRequest, Message};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Request, StatusCode};
use ottertiller_balancer::{NewRequest, RequestId};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::Instant;

/// The path of the readiness check.
const READINESS_PATH: &str = "/health/ready";
/// How much of a rejected request's body is read and discarded, so that its client sees the
/// response.
const MAX_DISCARDED_BYTES: usize = 16 * MAX_BODY_BYTES;
/// How long that may take: half the time after which a closing connection is aborted.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Handles the requests of all connections.
pub struct RequestHandler {
    clock: Clock,
    options: DownstreamOptions,
    /// Memory for bodies of requests and responses.
    budget: Budget,
    driver: mpsc::Sender<Message>,
    /// Whether the node has an endpoint list.
    is_ready: Rc<Cell<bool>>,
    phase: Rc<Cell<ShutdownPhase>>,
    in_flight_call_ids: InFlightCallIds,
    last_request_id: Cell<u64>,
}

/// What a request's head asks for.
enum Target {
    /// The node's readiness.
    Readiness,
    /// A call that is to be forwarded.
    Call(Box<ParsedRequest>),
}

impl RequestHandler {
    /// A handler that passes admitted requests to the driver.
    pub fn new(
        clock: Clock,
        options: DownstreamOptions,
        budget: Budget,
        driver: mpsc::Sender<Message>,
        is_ready: Rc<Cell<bool>>,
        phase: Rc<Cell<ShutdownPhase>>,
    ) -> Self {
        RequestHandler {
            clock,
            options,
            budget,
            driver,
            is_ready,
            phase,
            in_flight_call_ids: InFlightCallIds::default(),
            last_request_id: Cell::new(0),
        }
    }

    /// Handles a request whose body must have been read by the deadline. After an error the
    /// connection cannot carry another request.
    pub async fn handle(
        &self,
        request: Request<Incoming>,
        read_deadline: Instant,
    ) -> Result<FullResponse, RequestError> {
        let (head, body) = request.into_parts();
        match self.parse(head, &body) {
            Ok(Target::Readiness) => Ok(self.readiness()),
            Ok(Target::Call(request)) => self.handle_call(*request, body, read_deadline).await,
            Err(error) => {
                let deadline = Instant::now() + DISCARD_TIMEOUT;
                spawn_local(request_body::discard(body, MAX_DISCARDED_BYTES, deadline));
                Err(error)
            }
        }
    }

    fn parse(&self, head: Parts, body: &Incoming) -> Result<Target, RequestError> {
        let body_length = request_parser::body_length(&head, body)?;
        if head.uri.path() == READINESS_PATH {
            return Ok(Target::Readiness);
        }
        let request = request_parser::parse(&self.options, head, body_length)?;
        Ok(Target::Call(Box::new(request)))
    }

    fn readiness(&self) -> FullResponse {
        let is_ready = self.is_ready.get() && !self.phase.get().is_draining();
        response::empty(if is_ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        })
    }

    async fn handle_call(
        &self,
        request: ParsedRequest,
        body: Incoming,
        read_deadline: Instant,
    ) -> Result<FullResponse, RequestError> {
        let Some(lease) = self.budget.lease(request.body_length) else {
            log_peer("memory budget exhausted: request shed");
            return Ok(response::shed(self.options.max_retry_after));
        };
        let body = request_body::read(body, request.body_length, lease, read_deadline).await?;
        if self.phase.get().sheds_requests() {
            return Ok(response::shed(self.options.max_retry_after));
        }
        let received = self.clock.now();
        // Endpoints could confuse the attempts of two requests with the same id.
        let call_id = request.call_id.clone();
        let _reservation = self
            .in_flight_call_ids
            .reserve(&call_id)
            .ok_or(RequestError::CallInFlight)?;
        let answer = self.submit(request, body, received).await;
        Ok(response::final_response(answer))
    }

    /// Passes a request to the driver, and waits for its final response.
    async fn submit(
        &self,
        request: ParsedRequest,
        body: Bytes,
        received: Duration,
    ) -> FinalResponse {
        let id = self.next_request_id();
        let (reply, answer) = oneshot::channel();
        // Reserved now, since a drop cannot wait for a slot in the driver's inbox.
        let Ok(permit) = self.driver.clone().reserve_owned().await else {
            return FinalResponse::Failed;
        };
        let mut disconnect = DisconnectGuard {
            id,
            permit: Some(permit),
        };
        let message = Message::Request(Box::new(incoming_request(
            id, request, body, received, reply,
        )));
        if self.driver.send(message).await.is_err() {
            return FinalResponse::Failed;
        }
        let answer = answer.await.unwrap_or(FinalResponse::Failed);
        disconnect.disarm();
        answer
    }

    fn next_request_id(&self) -> RequestId {
        let id = self.last_request_id.get() + 1;
        self.last_request_id.set(id);
        RequestId(id)
    }
}

/// Converts a parsed request to the driver's message.
fn incoming_request(
    id: RequestId,
    parsed: ParsedRequest,
    body: Bytes,
    received: Duration,
    reply: oneshot::Sender<FinalResponse>,
) -> IncomingRequest {
    let forward = ForwardedRequest {
        method: parsed.method,
        path: parsed.path,
        call_id: parsed.call_id,
        idempotency_key: parsed.idempotency_key,
        body: RefCell::new(Some(body)),
        deadline: received + parsed.budget,
        idempotency_window: parsed.idempotency_window,
        first_byte: Cell::new(None),
    };
    let request = NewRequest {
        id,
        class: parsed.class,
        tenant: parsed.tenant,
        key: parsed.key,
        remaining: parsed.budget,
        cost_hint: parsed.cost,
        client_retry: parsed.is_client_retry,
    };
    IncomingRequest {
        request,
        received,
        forward,
        reply,
    }
}

/// Reports the client's disconnect when it is dropped, unless it has been disarmed: when a client
/// disconnects, the future that handles its request is dropped, and this guard with it.
struct DisconnectGuard {
    id: RequestId,
    permit: Option<mpsc::OwnedPermit<Message>>,
}

impl DisconnectGuard {
    fn disarm(&mut self) {
        self.permit = None;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            permit.send(Message::ClientDisconnected(self.id));
        }
    }
}
