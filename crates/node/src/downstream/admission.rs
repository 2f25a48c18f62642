//! Admits requests whose head has been checked: leases memory for the body, reads the body, and
//! reserves the call id.

use super::call_ids::{CallIdReservation, CallIds};
use super::rejection::Rejection;
use super::request_body::{BodyError, BodyReader};
use super::request_parser::ParsedRequest;
use super::shutdown_phase::ShutdownPhase;
use crate::clock::Clock;
use crate::logging::log_rate_limited;
use crate::memory_budget::MemoryBudget;
use bytes::Bytes;
use hyper::body::Incoming;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Admits requests.
pub(super) struct Admission {
    clock: Clock,
    /// The memory budget for the bodies of requests and responses.
    budget: MemoryBudget,
    phase: Rc<Cell<ShutdownPhase>>,
    /// The Retry-After header of the responses to shed requests; `None` for no such header.
    retry_after: Option<Duration>,
    call_ids: CallIds,
}

/// A request that has been read to its last byte.
pub(super) struct ReceivedRequest {
    /// The checked head.
    pub head: ParsedRequest,
    /// The body, together with its lease of the memory budget.
    pub body: Bytes,
    /// When the last byte was read.
    pub received_at: Duration,
}

/// A request that may be passed to the driver.
pub(super) struct AdmittedRequest<'a> {
    /// The request.
    pub request: ReceivedRequest,
    /// Keeps the request's call id in use.
    pub call_id_reservation: CallIdReservation<'a>,
}

impl Admission {
    /// Creates an admission that leases memory from the budget. The responses to requests that it
    /// sheds have `retry_after` in their Retry-After header.
    pub(super) fn new(
        clock: Clock,
        budget: MemoryBudget,
        phase: Rc<Cell<ShutdownPhase>>,
        retry_after: Option<Duration>,
    ) -> Self {
        Admission {
            clock,
            budget,
            phase,
            retry_after,
            call_ids: CallIds::default(),
        }
    }

    /// Reads the request's body, and admits the request.
    ///
    /// # Errors
    ///
    /// Rejects the request if the memory budget has no room for its body, if the body does not
    /// arrive completely and in time, if its connection is evicted before that, if its client may
    /// have left while it waited for room, if the shutdown has reached the phase that sheds
    /// requests, or if the call id is in use or its earlier request may still run.
    pub(super) async fn admit(
        &self,
        head: ParsedRequest,
        body: Incoming,
        body_reader: BodyReader<'_>,
    ) -> Result<AdmittedRequest<'_>, Rejection> {
        let Some(lease) = self.budget.lease(head.body_length) else {
            log_rate_limited("request shed: memory budget exhausted");
            return Err(self.shed());
        };
        let body = match body_reader.read(body, head.body_length, lease).await {
            Ok(body) => body,
            Err(BodyError::Invalid(error)) => return Err(Rejection::Invalid(error)),
            Err(BodyError::Evicted) => return Err(self.shed()),
        };
        let received_at = self.clock.now();
        if body_reader.client_may_have_left().await || self.phase.get().sheds_requests() {
            return Err(self.shed());
        }
        let call_id_reservation = self.call_ids.reserve(&head.call_id)?;
        Ok(AdmittedRequest {
            request: ReceivedRequest {
                head,
                body,
                received_at,
            },
            call_id_reservation,
        })
    }

    /// Returns the rejection of a request that its client may safely retry.
    pub(super) fn shed(&self) -> Rejection {
        Rejection::Shed {
            retry_after: self.retry_after,
        }
    }
}
