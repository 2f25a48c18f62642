//! Checking connections out of the pool: an idle one, or whichever comes first of one that is
//! released and a new one.

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
/// A connection that was delivered but not fetched goes back to the pool when this is dropped: it
/// has cost its endpoint a handshake.
struct PendingCheckout<'a> {
    pool: &'a Pool,
    /// Where the connection arrives.
    delivery: oneshot::Receiver<CheckoutResult>,
}

impl PendingCheckout<'_> {
    /// Waits until a connection is delivered, or none will be.
    async fn wait(mut self) -> CheckoutResult {
        let delivered = (&mut self.delivery).await;
        delivered.unwrap_or(Err(CheckoutError::EndpointUnavailable))
    }
}

impl Drop for PendingCheckout<'_> {
    fn drop(&mut self) {
        self.delivery.close();
        if let Ok(Ok(connection)) = self.delivery.try_recv() {
            self.pool.release(connection);
        }
    }
}

impl Pool {
    /// Takes the most recently used idle connection, or else whichever comes first of one that is
    /// released and a new one.
    pub(crate) async fn checkout(self: &Rc<Self>, endpoint: EndpointId) -> CheckoutResult {
        if let Some(connection) = self.take_idle(endpoint)? {
            return Ok(connection);
        }
        if self.needs_dial(endpoint)? {
            self.start_dial(endpoint)?;
        }
        self.enqueue(endpoint)?.wait().await
    }

    /// Takes the most recently used idle connection that may carry a request.
    fn take_idle(&self, endpoint: EndpointId) -> Result<Option<Connection>, CheckoutError> {
        let mut endpoints = self.endpoints.borrow_mut();
        let slot = endpoints.listed_mut(endpoint)?;
        Ok(slot.idle.take_usable(self.clock.now(), self.idle_timeout))
    }

    /// Returns whether a further waiter would have no dial to wait for.
    fn needs_dial(&self, endpoint: EndpointId) -> Result<bool, CheckoutError> {
        let mut endpoints = self.endpoints.borrow_mut();
        let slot = endpoints.listed_mut(endpoint)?;
        slot.waiters.remove_cancelled();
        Ok(slot.dials_in_flight <= slot.waiters.len())
    }

    /// Starts to open a connection in the background.
    fn start_dial(self: &Rc<Self>, endpoint: EndpointId) -> Result<(), CheckoutError> {
        // The permit may cost an idle connection to any endpoint, so that the table must not be
        // borrowed yet.
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

    /// Logs that no connection is opened to an endpoint, by its address.
    fn log_not_opened(&self, endpoint: EndpointId, error: &CheckoutError) {
        if let Ok(slot) = self.endpoints.borrow_mut().listed_mut(endpoint) {
            let address = slot.address;
            log_rate_limited(format_args!(
                "connection not opened: endpoint {address}: {error}"
            ));
        }
    }

    /// Adds the caller to those who wait for a connection.
    fn enqueue(&self, endpoint: EndpointId) -> Result<PendingCheckout<'_>, CheckoutError> {
        let mut endpoints = self.endpoints.borrow_mut();
        let slot = endpoints.listed_mut(endpoint)?;
        Ok(PendingCheckout {
            pool: self,
            delivery: slot.waiters.enqueue(),
        })
    }

    /// Returns a permit for one more connection. The longest idle connection is closed if the limit
    /// is reached.
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
