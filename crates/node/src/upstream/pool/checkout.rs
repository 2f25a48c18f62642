//! Checking connections out of the pool: an idle one, or whichever comes first of one that is
//! released and a new one.

use crate::logging::log_peer;
use crate::upstream::pool::Pool;
use crate::upstream::pool::connection::{CheckoutResult, Connection, ConnectionPermit};
use crate::upstream::pool::dial::Dial;
use ottertiller_balancer::{EndpointId, Outcome};
use std::rc::Rc;
use tokio::sync::oneshot;

enum Checkout<'a> {
    Ready(Connection),
    Pending(PendingCheckout<'a>),
}

/// A waiting attempt. A connection that was delivered but not fetched goes back to the pool: it has
/// cost its endpoint a handshake.
struct PendingCheckout<'a> {
    pool: &'a Pool,
    delivery: oneshot::Receiver<CheckoutResult>,
}

impl PendingCheckout<'_> {
    async fn wait(mut self) -> CheckoutResult {
        (&mut self.delivery).await.unwrap_or(Err(Outcome::NotSent))
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
    /// Takes the most recently used idle connection, or else whichever comes first: one that is
    /// released or a new one.
    pub async fn checkout(self: &Rc<Self>, endpoint: EndpointId) -> CheckoutResult {
        match self.begin_checkout(endpoint)? {
            Checkout::Ready(connection) => Ok(connection),
            Checkout::Pending(pending) => pending.wait().await,
        }
    }

    fn begin_checkout(self: &Rc<Self>, endpoint: EndpointId) -> Result<Checkout<'_>, Outcome> {
        let needs_dial = {
            let mut registry = self.registry.borrow_mut();
            let slot = registry.get_mut(endpoint).ok_or(Outcome::NotSent)?;
            if let Some(connection) = slot.idle.take_usable(self.clock.now(), self.idle_timeout) {
                return Ok(Checkout::Ready(connection));
            }
            slot.waiters.remove_cancelled();
            slot.dials_in_flight <= slot.waiters.len()
        };
        // Its permit may close an idle connection to any endpoint, so that the registry must not be
        // borrowed here.
        let permit = if needs_dial {
            Some(self.acquire_permit()?)
        } else {
            None
        };
        let mut registry = self.registry.borrow_mut();
        let slot = registry.get_mut(endpoint).ok_or(Outcome::NotSent)?;
        if let Some(permit) = permit {
            slot.dials_in_flight += 1;
            self.spawn_dial(Dial {
                endpoint,
                epoch: slot.epoch,
                address: slot.address,
                permit,
            });
        }
        let delivery = slot.waiters.enqueue();
        Ok(Checkout::Pending(PendingCheckout {
            pool: self,
            delivery,
        }))
    }

    /// Room for one more connection, which may cost the longest idle one.
    fn acquire_permit(&self) -> Result<ConnectionPermit, Outcome> {
        if let Some(permit) = self.limit.try_acquire() {
            return Ok(permit);
        }
        self.registry.borrow_mut().close_longest_idle();
        self.limit.try_acquire().ok_or_else(|| {
            log_peer("upstream connection limit reached: attempt not sent");
            Outcome::NotSent
        })
    }
}
