//! Checking connections out of the pool: an idle connection, or else the first to become available
//! of a released one and a newly dialled one.

use crate::logging::log_rate_limited;
use crate::upstream::pool::Pool;
use crate::upstream::pool::connection::{CheckoutResult, Connection};
use crate::upstream::pool::dial::Dial;
use crate::upstream::pool::error::CheckoutError;
use crate::upstream::pool::limit::ConnectionPermit;
use ottertiller_balancer::EndpointId;
use std::rc::Rc;
use tokio::sync::oneshot;

/// A checkout that waits for a connection.
///
/// If it is dropped after a connection was delivered and before [`PendingCheckout::wait`] returned
/// it, the connection goes back to the pool: closing it would waste the handshake.
struct PendingCheckout<'a> {
    pool: &'a Pool,
    /// Receives the connection, or the error that there is none.
    delivery: oneshot::Receiver<CheckoutResult>,
}

impl PendingCheckout<'_> {
    /// Waits until a connection is delivered or the checkout has failed.
    async fn wait(mut self) -> CheckoutResult {
        let delivered = (&mut self.delivery).await;
        // The sender is dropped without a result only if the endpoint is removed from the table.
        // Before that, the pool fails the endpoint's waiters with the same error.
        delivered.unwrap_or(Err(CheckoutError::EndpointUnavailable))
    }
}

impl Drop for PendingCheckout<'_> {
    fn drop(&mut self) {
        self.delivery.close();
        if let Ok(Ok(connection)) = self.delivery.try_recv() {
            // The checkout has sent nothing on the connection, so no cool-down is needed.
            self.pool.release_without_cooldown(connection);
        }
    }
}

impl Pool {
    /// Takes the most recently used idle connection. If there is none, waits for the first to
    /// become available of a released connection and a newly dialled one.
    ///
    /// # Errors
    ///
    /// Fails at once if the endpoint is not listed. Also fails at once if a dial is needed, the
    /// connection limit is reached, and no idle connection can be closed to make room: the checkout
    /// then does not wait for a released connection. Otherwise fails if a dial fails and no other
    /// is left for this checkout, or if the endpoint becomes unavailable in the meantime.
    pub(crate) async fn checkout(self: &Rc<Self>, endpoint: EndpointId) -> CheckoutResult {
        if let Some(connection) = self.take_idle(endpoint)? {
            return Ok(connection);
        }
        if self.needs_dial(endpoint)? {
            self.start_dial(endpoint)?;
        }
        self.enqueue(endpoint)?.wait().await
    }

    /// Takes the most recently used idle connection that is usable.
    fn take_idle(&self, endpoint: EndpointId) -> Result<Option<Connection>, CheckoutError> {
        let mut endpoints = self.endpoints.borrow_mut();
        let slot = endpoints.listed_mut(endpoint)?;
        Ok(slot.idle.take_usable(self.clock.now(), self.idle_timeout))
    }

    /// Returns whether one more waiter needs another dial: there must be at least as many dials in
    /// flight as waiters.
    fn needs_dial(&self, endpoint: EndpointId) -> Result<bool, CheckoutError> {
        let mut endpoints = self.endpoints.borrow_mut();
        let slot = endpoints.listed_mut(endpoint)?;
        slot.waiters.remove_cancelled();
        Ok(slot.dials_in_flight <= slot.waiters.len())
    }

    /// Starts to dial an endpoint in the background.
    fn start_dial(self: &Rc<Self>, endpoint: EndpointId) -> Result<(), CheckoutError> {
        // Acquiring the permit may close an idle connection, which borrows the endpoint table. So
        // the table must not be borrowed yet.
        let permit = self
            .acquire_permit()
            .inspect_err(|error| self.log_not_opened(endpoint, error))?;
        let mut endpoints = self.endpoints.borrow_mut();
        let slot = endpoints.listed_mut(endpoint)?;
        slot.dials_in_flight += 1;
        self.spawn_dial(Dial {
            endpoint,
            epoch: slot.epoch,
            address: slot.address,
            permit,
        });
        Ok(())
    }

    /// Logs that no connection is opened to an endpoint, with its address and the reason.
    fn log_not_opened(&self, endpoint: EndpointId, error: &CheckoutError) {
        if let Ok(slot) = self.endpoints.borrow_mut().listed_mut(endpoint) {
            let address = slot.address;
            log_rate_limited(format_args!(
                "connection not opened: endpoint {address}: {error}"
            ));
        }
    }

    /// Adds a waiter for a connection to an endpoint.
    fn enqueue(&self, endpoint: EndpointId) -> Result<PendingCheckout<'_>, CheckoutError> {
        let mut endpoints = self.endpoints.borrow_mut();
        let slot = endpoints.listed_mut(endpoint)?;
        Ok(PendingCheckout {
            pool: self,
            delivery: slot.waiters.enqueue(),
        })
    }

    /// Acquires a permit for one more connection. If the limit is reached, closes the longest idle
    /// connection of any endpoint to make room.
    fn acquire_permit(&self) -> Result<ConnectionPermit, CheckoutError> {
        if let Some(permit) = self.limit.try_acquire() {
            return Ok(permit);
        }
        self.endpoints.borrow_mut().close_longest_idle();
        self.limit
            .try_acquire()
            .ok_or(CheckoutError::ConnectionLimit)
    }
}
