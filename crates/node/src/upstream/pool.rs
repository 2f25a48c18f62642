//! The pool of connections to endpoints. It knows which endpoints accept requests and on which
//! address, and holds the open connections to them and the attempts that wait for a connection.

mod checkout;
mod connection;
mod dial;
mod endpoint_table;
mod epoch;
mod error;
mod idle;
mod limit;
mod trailing_bytes;
mod waiters;

pub(crate) use connection::Connection;
pub(crate) use trailing_bytes::Trailing;

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

/// The cool-down: how long a connection carries no request after a response.
///
/// A duplicate of a response may arrive on the connection, some milliseconds after the first. If
/// the connection carried another request by then, the duplicate would be read as the response to
/// that request. If it arrives during the cool-down, the connection is closed instead of being
/// reused. Duplicates have been seen up to 4 ms late. A longer cool-down would cost handshakes.
pub(crate) const RESPONSE_COOLDOWN: Duration = Duration::from_millis(6);
/// The shortest interval between two sweeps that close expired idle connections.
const MIN_SWEEP_INTERVAL: Duration = Duration::from_millis(5);
/// The number of sweeps within one idle timeout of the pool.
const SWEEPS_PER_IDLE_TIMEOUT: u32 = 8;

/// The options of the pool.
#[derive(Clone, Debug)]
pub(crate) struct PoolOptions {
    /// The most connections that may be open at once, dials in flight included.
    pub max_connections: usize,
    /// How long a dial may take.
    pub connect_timeout: Duration,
    /// The idle timeout after which endpoints close connections. The pool's own is shorter.
    pub endpoint_idle_timeout: Duration,
    /// The cool-down after a response; [`RESPONSE_COOLDOWN`] except in tests.
    pub response_cooldown: Duration,
}

/// The number of items that the pool holds.
#[cfg(test)]
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct PoolUsage {
    /// Known endpoints.
    pub endpoints: usize,
    /// Open connections, dials in flight included.
    pub open_connections: usize,
    /// Attempts and health checks that wait for a connection.
    pub waiting_attempts: usize,
    /// Dials in flight.
    pub dials_in_flight: usize,
}

/// The connection pool, which all attempts and health checks share.
pub(crate) struct Pool {
    clock: Clock,
    options: PoolOptions,
    /// How long a connection may be idle before the pool closes it.
    idle_timeout: Duration,
    limit: ConnectionLimit,
    endpoints: RefCell<EndpointTable>,
}

impl Pool {
    /// Creates a pool that knows no endpoint yet, and starts the task that closes expired idle
    /// connections.
    pub(crate) fn start(clock: Clock, options: PoolOptions) -> Rc<Self> {
        let pool = Rc::new(Pool {
            clock,
            // Shorter than the endpoint's timeout: a request that is written just as the endpoint
            // closes the connection would end as a reset.
            idle_timeout: options.endpoint_idle_timeout * 3 / 4,
            limit: ConnectionLimit::new(options.max_connections),
            endpoints: RefCell::default(),
            options,
        });
        spawn_local(pool.clone().sweep_idle());
        pool
    }

    /// Closes expired idle connections at intervals, before their endpoints close them.
    async fn sweep_idle(self: Rc<Self>) {
        let interval = (self.idle_timeout / SWEEPS_PER_IDLE_TIMEOUT).max(MIN_SWEEP_INTERVAL);
        loop {
            sleep(interval).await;
            self.endpoints
                .borrow_mut()
                .evict_expired(self.clock.now(), self.idle_timeout);
        }
    }

    /// Applies an update of the endpoint list: the addresses and states of endpoints.
    pub(crate) fn update(&self, kind: ListKind, listed: &[ListedEndpoint]) {
        self.endpoints.borrow_mut().apply(kind, listed);
    }

    /// Returns a connection to the pool, and makes it available at once. It must have carried
    /// nothing since it was dialled or checked out, or only a health check, or it must have cooled
    /// down.
    ///
    /// The attempt that has waited longest gets it. If none waits, it becomes idle. A connection
    /// that is unusable or belongs to an earlier [`Epoch`](epoch::Epoch) is closed.
    pub(crate) fn release_without_cooldown(&self, connection: Connection) {
        let mut endpoints = self.endpoints.borrow_mut();
        let Some(slot) = endpoints.in_epoch_mut(connection.endpoint, connection.epoch) else {
            return;
        };
        if !connection.is_usable() {
            return;
        }
        if let Some(undelivered) = slot.waiters.deliver(connection) {
            slot.idle.push(undelivered, self.clock.now());
        }
    }

    /// Returns a connection to the pool after a response. It becomes idle, but is not taken before
    /// its cool-down has passed.
    ///
    /// If attempts wait already, the longest waiting one is offered a connection after the
    /// cool-down. An attempt that begins to wait later does not depend on that, since it has a dial
    /// in flight.
    pub(crate) fn release_with_cooldown(self: &Rc<Self>, mut connection: Connection) {
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

    /// Waits for the cool-down to pass, and then gives a usable idle connection to the endpoint's
    /// longest waiting attempt, if any still waits.
    async fn offer_after_cooldown(self: Rc<Self>, endpoint: EndpointId) {
        sleep(self.options.response_cooldown).await;
        if let Some(connection) = self.take_for_waiter(endpoint) {
            self.release_without_cooldown(connection);
        }
    }

    /// Takes a usable idle connection if any attempt waits for one.
    fn take_for_waiter(&self, endpoint: EndpointId) -> Option<Connection> {
        let mut endpoints = self.endpoints.borrow_mut();
        let slot = endpoints
            .get_mut(endpoint)
            .filter(|slot| !slot.waiters.is_empty())?;
        slot.idle.take_usable(self.clock.now(), self.idle_timeout)
    }

    /// Returns the address to which a connection leads, if a request may still be sent on it: the
    /// endpoint must be ready, and still in the [`Epoch`](epoch::Epoch) in which the connection was
    /// dialled.
    ///
    /// A draining endpoint gets no request, not even within the drain grace (the setting
    /// `DrainGrace`): that is for requests that were written before the drain began.
    pub(crate) fn destination(&self, connection: &Connection) -> Option<SocketAddr> {
        let endpoints = self.endpoints.borrow();
        let slot = endpoints.in_epoch(connection.endpoint, connection.epoch)?;
        slot.is_ready().then_some(slot.address)
    }

    /// Returns the number of items that the pool holds now.
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
