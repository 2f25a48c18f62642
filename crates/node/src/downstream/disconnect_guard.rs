//! The detection of clients that disconnect while their requests are in flight.

use crate::message::DriverMessage;
use ottertiller_balancer::RequestId;
use tokio::sync::mpsc;

/// Reports the client's disconnect to the driver when it is dropped, unless it has been disarmed.
/// When a client disconnects, the future that handles its request is dropped, and this guard with
/// it.
pub(super) struct DisconnectGuard {
    id: RequestId,
    /// The slot in the driver's inbox for the report; `None` once disarmed.
    permit: Option<mpsc::OwnedPermit<DriverMessage>>,
}

impl DisconnectGuard {
    /// Creates an armed guard for the request, with a slot in the driver's inbox for its report.
    pub(super) fn new(id: RequestId, permit: mpsc::OwnedPermit<DriverMessage>) -> Self {
        DisconnectGuard {
            id,
            permit: Some(permit),
        }
    }

    /// Gives the slot back. A disconnect is no longer reported.
    pub(super) fn disarm(&mut self) {
        self.permit = None;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            permit.send(DriverMessage::ClientDisconnected(self.id));
        }
    }
}
