//! The pool of connections to endpoints: which endpoints may be sent to and where they listen, the
//! connections that are open to them, and the attempts that wait for one.

mod checkout;
mod connection;
mod dial;
mod endpoint_table;
mod epoch;
mod error;
mod idle;
mod limit;
mod waiters;

pub(crate) use connection::Connection;

use crate::clock::Clock;
use crate::message::ListedEndpoint;
use endpoint_table::EndpointTable;
use limit::ConnectionLimit;
use ottertiller_balancer::{EndpointId, ListKind};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// How long connections cool down after a response.
///
/// A second copy of a response may arrive some milliseconds behind the first. On a connection that
/// carries another request by then, it would be taken for the response to that. Copies have been
/// seen up to 4 ms late; a longer cool-down costs handshakes.
pub(crate) const RESPONSE_COOLDOWN: Duration = Duration::from_millis(6);
/// The shortest time between two sweeps for connections that have been idle for too long.
const MIN_SWEEP_INTERVAL: Duration = Duration::from_millis(5);
/// The number of sweeps within one idle timeout.
const SWEEPS_PER_IDLE_TIMEOUT: u32 = 8;

/// The options of the pool.
#[derive(Clone, Debug)]
pub(crate) struct PoolOptions {
    /// The most connections that may be open at once, dials in flight included.
    pub max_connections: usize,
    /// How long a dial may take.
    pub connect_timeout: Duration,
    /// Endpoints close connections that have been idle for so long.
    pub endpoint_idle_timeout: Duration,
    /// How long a connection stays unused after a response; [`RESPONSE_COOLDOWN`] except in tests.
    pub response_cooldown: Duration,
}

/// What the pool holds.
#[cfg(test)]
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct PoolUsage {
    /// The endpoints that are known.
    pub endpoints: usize,
    /// Open connections, dials in flight included.
    pub open_connections: usize,
    /// Attempts and health checks that wait for a connection.
    pub waiting_attempts: usize,
    /// Dials in flight.
    pub dials_in_flight: usize,
}

/// The pool, shared by all attempts and health checks.
pub(crate) struct Pool {
    clock: Clock,
    options: PoolOptions,
    /// How long a connection may be idle.
    idle_timeout: Duration,
    limit: ConnectionLimit,
    endpoints: RefCell<EndpointTable>,
}

impl Pool {
    /// Returns a pool that knows no endpoint yet, and starts the task that closes idle connections.
    pub(crate) fn start(clock: Clock, options: PoolOptions) -> Rc<Self> {
        let pool = Rc::new(Pool {
            clock,
            // A request written just when the endpoint closes the connection would end as a reset.
            idle_timeout: options.endpoint_idle_timeout * 3 / 4,
            limit: ConnectionLimit::new(options.max_connections),
            endpoints: RefCell::default(),
            options,
        });
        spawn_local(pool.clone().sweep_idle());
        pool
    }

    /// Closes connections that have been idle for too long, before their endpoints do.
    async fn sweep_idle(self: Rc<Self>) {
        let interval = (self.idle_timeout / SWEEPS_PER_IDLE_TIMEOUT).max(MIN_SWEEP_INTERVAL);
        loop {
            sleep(interval).await;
            self.endpoints
                .borrow_mut()
                .evict_expired(self.clock.now(), self.idle_timeout);
        }
    }

    /// Applies an update of the endpoint list: where endpoints listen, and which are ready.
    pub(crate) fn update(&self, kind: ListKind, listed: &[ListedEndpoint]) {
        self.endpoints.borrow_mut().apply(kind, listed);
    }

    /// Takes back a connection that has carried nothing since it was checked out or dialled, or
    /// whose last exchange needs no cool-down.
    ///
    /// The longest waiting attempt gets it; if nobody waits, it stays idle for the next.
    pub(crate) fn release(&self, connection: Connection) {
        let mut endpoints = self.endpoints.borrow_mut();
        let Some(slot) = endpoints.in_epoch_mut(connection.endpoint, connection.epoch) else {
            return;
        };
        if !connection.is_usable() {
            return;
        }
        if let Some(connection) = slot.waiters.deliver(connection) {
            slot.idle.push(connection, self.clock.now());
        }
    }

    /// Takes back a connection that has carried the response to a request. It is available once it
    /// has cooled down.
    pub(crate) fn release_after_response(self: &Rc<Self>, mut connection: Connection) {
        let now = self.clock.now();
        let endpoint = connection.endpoint;
        connection.cooling_until = now + self.options.response_cooldown;
        let mut endpoints = self.endpoints.borrow_mut();
        let Some(slot) = endpoints.in_epoch_mut(endpoint, connection.epoch) else {
            return;
        };
        slot.idle.push(connection, now);
        if !slot.waiters.is_empty() {
            spawn_local(self.clone().offer_after_cooldown(endpoint));
        }
    }

    /// Gives those who still wait after the cool-down a connection that is available by then.
    async fn offer_after_cooldown(self: Rc<Self>, endpoint: EndpointId) {
        sleep(self.options.response_cooldown).await;
        if let Some(connection) = self.take_for_waiter(endpoint) {
            self.release(connection);
        }
    }

    /// Takes an idle connection if anybody waits for one.
    fn take_for_waiter(&self, endpoint: EndpointId) -> Option<Connection> {
        let mut endpoints = self.endpoints.borrow_mut();
        let slot = endpoints
            .get_mut(endpoint)
            .filter(|slot| !slot.waiters.is_empty())?;
        slot.idle.take_usable(self.clock.now(), self.idle_timeout)
    }

    /// Returns where a connection leads, if a request may still be sent there: the endpoint is
    /// ready, and still the one that was chosen.
    ///
    /// The grace of a drain is for requests that have been written by then.
    pub(crate) fn destination(&self, connection: &Connection) -> Option<SocketAddr> {
        let endpoints = self.endpoints.borrow();
        let slot = endpoints.in_epoch(connection.endpoint, connection.epoch)?;
        slot.is_ready().then_some(slot.address)
    }

    /// Returns what the pool holds now.
    #[cfg(test)]
    pub(crate) fn usage(&self) -> PoolUsage {
        let endpoints = self.endpoints.borrow();
        let slots = endpoints.slots().values();
        PoolUsage {
            endpoints: endpoints.slots().len(),
            open_connections: self.limit.open_count(),
            waiting_attempts: slots.clone().map(|slot| slot.waiters.len()).sum(),
            dials_in_flight: slots.map(|slot| slot.dials_in_flight).sum(),
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
