//! Submits admitted requests to the driver.

use super::admission::{AdmittedRequest, ReceivedRequest};
use super::disconnect_guard::DisconnectGuard;
use crate::message::{DriverMessage, FinalResponse, IncomingRequest, UpstreamRequest};
use ottertiller_balancer::{NewRequest, RequestId};
use std::cell::{Cell, RefCell};
use tokio::sync::{mpsc, oneshot};

/// Passes requests to the driver.
pub(super) struct DriverHandle {
    inbox: mpsc::Sender<DriverMessage>,
    last_request_id: Cell<u64>,
}

impl DriverHandle {
    /// Creates a handle for the driver with this inbox.
    pub(super) fn new(inbox: mpsc::Sender<DriverMessage>) -> Self {
        DriverHandle {
            inbox,
            last_request_id: Cell::new(0),
        }
    }

    /// Passes a request to the driver, and waits for its final response. If the returned future is
    /// dropped before that, the driver is told that the client has disconnected.
    pub(super) async fn submit(&self, admitted: AdmittedRequest<'_>) -> FinalResponse {
        let AdmittedRequest {
            request,
            mut call_id_reservation,
        } = admitted;
        let id = self.next_request_id();
        let (response_sender, final_response) = oneshot::channel();
        // Reserved now, since the guard's `drop` cannot wait for a slot in the driver's inbox.
        let Ok(permit) = self.inbox.clone().reserve_owned().await else {
            return FinalResponse::Failed;
        };
        let mut disconnect_guard = DisconnectGuard::new(id, permit);
        let message =
            DriverMessage::Request(Box::new(incoming_request(id, request, response_sender)));
        if self.inbox.send(message).await.is_err() {
            return FinalResponse::Failed;
        }
        let final_response = final_response.await.unwrap_or(FinalResponse::Failed);
        disconnect_guard.disarm();
        match final_response {
            FinalResponse::Served(_) | FinalResponse::Shed(_) => call_id_reservation.settle(),
            FinalResponse::Failed | FinalResponse::TimedOut => {}
        }
        final_response
    }

    /// Returns an id that no other request of this node has.
    fn next_request_id(&self) -> RequestId {
        let id = self.last_request_id.get() + 1;
        self.last_request_id.set(id);
        RequestId(id)
    }
}

/// Converts a received request to the driver's form.
fn incoming_request(
    id: RequestId,
    request: ReceivedRequest,
    response_sender: oneshot::Sender<FinalResponse>,
) -> IncomingRequest {
    let ReceivedRequest {
        head,
        body,
        received_at,
    } = request;
    let upstream_request = UpstreamRequest {
        method: head.method,
        path: head.path,
        call_id: head.call_id,
        idempotency_key: head.idempotency_key,
        body: RefCell::new(Some(body)),
        deadline: received_at + head.time_budget,
        idempotency_window: head.idempotency_window,
        first_sent_at: Cell::new(None),
    };
    let request = NewRequest {
        id,
        class: head.class,
        tenant: head.tenant,
        key: head.key,
        remaining: head.time_budget,
        cost_hint: head.cost,
        client_retry: head.is_client_retry,
    };
    IncomingRequest {
        request,
        received_at,
        upstream_request,
        response_sender,
    }
}
