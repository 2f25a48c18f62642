//! The detection of clients that disconnect while their requests are in flight.

use crate::message::Message;
use ottertiller_balancer::RequestId;
use tokio::sync::mpsc;

/// Reports the client's disconnect to the driver when it is dropped, unless it has been disarmed.
/// When a client disconnects, the future that handles its request is dropped, and this guard with
/// it.
pub struct DisconnectGuard {
    id: RequestId,
    /// The slot in the driver's inbox for the report; `None` once disarmed.
    permit: Option<mpsc::OwnedPermit<Message>>,
}

impl DisconnectGuard {
    /// Creates an armed guard for the request, with a slot in the driver's inbox for its report.
    pub fn new(id: RequestId, permit: mpsc::OwnedPermit<Message>) -> Self {
        DisconnectGuard {
            id,
            permit: Some(permit),
        }
    }

    /// Gives the slot back. A disconnect is no longer reported.
    pub fn disarm(&mut self) {
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
