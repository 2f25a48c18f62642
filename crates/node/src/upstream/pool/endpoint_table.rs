//! The endpoints that the pool knows, as the endpoint list has them, and the connections and
//! waiters of each.

use crate::message::ListedEndpoint;
use crate::upstream::pool::epoch::Epoch;
use crate::upstream::pool::error::CheckoutError;
use crate::upstream::pool::idle::IdleConnections;
use crate::upstream::pool::waiters::WaiterQueue;
use ottertiller_balancer::{EndpointId, EndpointState, ListKind};
use std::collections::{BTreeMap, BTreeSet, btree_map};
use std::net::SocketAddr;
use std::time::Duration;

/// What the pool holds for one endpoint.
pub(super) struct EndpointSlot {
    /// Where it listens.
    pub address: SocketAddr,
    /// The epoch that it is in.
    pub epoch: Epoch,
    /// Idle connections to it.
    pub idle: IdleConnections,
    /// Attempts that wait for a connection to it.
    pub waiters: WaiterQueue,
    /// Dials in flight in this epoch: never fewer than waiters.
    pub dials_in_flight: usize,
    /// Its state, as listed.
    state: EndpointState,
    /// When it was last started, as listed.
    started: Option<Duration>,
}

impl EndpointSlot {
    /// Returns the slot of an endpoint that has just been listed.
    fn new(listed: &ListedEndpoint, epoch: Epoch) -> Self {
        EndpointSlot {
            address: listed.address,
            epoch,
            idle: IdleConnections::default(),
            waiters: WaiterQueue::default(),
            dials_in_flight: 0,
            state: listed.entry.state,
            started: listed.entry.started,
        }
    }

    /// Returns whether new requests may be sent to the endpoint.
    pub(super) fn is_ready(&self) -> bool {
        self.state == EndpointState::Ready
    }

    /// Takes over an entry of the list.
    ///
    /// Connections to an earlier run of the endpoint, or to one that takes no new requests, are of
    /// no more use: `epoch` begins.
    fn update(&mut self, listed: &ListedEndpoint, epoch: Epoch) {
        let replaced = self.address != listed.address || self.started != listed.entry.started;
        self.address = listed.address;
        self.started = listed.entry.started;
        self.state = listed.entry.state;
        if replaced || !self.is_ready() {
            self.begin_epoch(epoch);
        }
    }

    /// Closes what belongs to the epoch before.
    ///
    /// Waiting attempts are to be decided anew, since what was permitted before may not be
    /// permitted any more.
    fn begin_epoch(&mut self, epoch: Epoch) {
        self.epoch = epoch;
        self.dials_in_flight = 0;
        self.idle.close_all();
        self.waiters.fail_all(CheckoutError::EndpointUnavailable);
    }
}

/// The listed endpoints by their numbers.
#[derive(Default)]
pub(super) struct EndpointTable {
    slots: BTreeMap<EndpointId, EndpointSlot>,
    /// The last epoch that was given out to any endpoint.
    last_epoch: Epoch,
}

impl EndpointTable {
    /// Applies an update of the endpoint list.
    ///
    /// Endpoints that are removed are forgotten: nothing more is sent to them, and the table would
    /// grow with each replaced endpoint.
    pub(super) fn apply(&mut self, kind: ListKind, listed: &[ListedEndpoint]) {
        if matches!(kind, ListKind::Snapshot | ListKind::Cached) {
            self.remove_unlisted(listed);
        }
        for endpoint in listed {
            self.apply_entry(endpoint);
        }
        self.slots
            .retain(|_, slot| slot.state != EndpointState::Removed);
    }

    /// Removes the endpoints that a complete list lacks.
    fn remove_unlisted(&mut self, listed: &[ListedEndpoint]) {
        let listed_ids: BTreeSet<_> = listed.iter().map(|endpoint| endpoint.entry.id).collect();
        self.slots.retain(|id, slot| {
            let keep = listed_ids.contains(id);
            if !keep {
                slot.waiters.fail_all(CheckoutError::EndpointUnavailable);
            }
            keep
        });
    }

    /// Adds or updates one endpoint.
    fn apply_entry(&mut self, listed: &ListedEndpoint) {
        let epoch = self.last_epoch.next();
        self.last_epoch = epoch;
        match self.slots.entry(listed.entry.id) {
            btree_map::Entry::Vacant(vacant) => {
                vacant.insert(EndpointSlot::new(listed, epoch));
            }
            btree_map::Entry::Occupied(mut occupied) => occupied.get_mut().update(listed, epoch),
        }
    }

    /// Returns the endpoint, in whatever epoch it is.
    pub(super) fn get_mut(&mut self, id: EndpointId) -> Option<&mut EndpointSlot> {
        self.slots.get_mut(&id)
    }

    /// Returns a listed endpoint, in whatever state it is.
    ///
    /// # Errors
    ///
    /// Returns [`CheckoutError::EndpointUnavailable`] if it is not listed.
    pub(super) fn listed_mut(
        &mut self,
        id: EndpointId,
    ) -> Result<&mut EndpointSlot, CheckoutError> {
        self.get_mut(id).ok_or(CheckoutError::EndpointUnavailable)
    }

    /// Returns the endpoint, if it still is in that epoch.
    pub(super) fn in_epoch(&self, id: EndpointId, epoch: Epoch) -> Option<&EndpointSlot> {
        self.slots.get(&id).filter(|slot| slot.epoch == epoch)
    }

    /// Returns the endpoint to be changed, if it still is in that epoch.
    pub(super) fn in_epoch_mut(
        &mut self,
        id: EndpointId,
        epoch: Epoch,
    ) -> Option<&mut EndpointSlot> {
        self.slots.get_mut(&id).filter(|slot| slot.epoch == epoch)
    }

    /// Closes connections that have been idle for too long.
    pub(super) fn evict_expired(&mut self, now: Duration, idle_timeout: Duration) {
        for slot in self.slots.values_mut() {
            slot.idle.evict_expired(now, idle_timeout);
        }
    }

    /// Closes the connection that has been idle for longest, of all endpoints; returns false if
    /// none is idle.
    pub(super) fn close_longest_idle(&mut self) -> bool {
        let candidates = self
            .slots
            .values_mut()
            .filter_map(|slot| Some((slot.idle.longest_idle_since()?, slot)));
        match candidates.min_by_key(|(since, _)| *since) {
            Some((_, slot)) => slot.idle.close_longest_idle(),
            None => false,
        }
    }

    /// Returns all endpoints.
    #[cfg(test)]
    pub(super) fn slots(&self) -> &BTreeMap<EndpointId, EndpointSlot> {
        &self.slots
    }
}
