//! The table of endpoints that the pool knows from the endpoint list, with the connections and
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

/// The state of one endpoint in the pool.
pub(super) struct EndpointSlot {
    /// The address on which the endpoint listens.
    pub address: SocketAddr,
    /// The current epoch.
    pub epoch: Epoch,
    /// Idle connections to it.
    pub idle: IdleConnections,
    /// Attempts that wait for a connection to it.
    pub waiters: WaiterQueue,
    /// Dials in flight in this epoch; never fewer than waiters.
    pub dials_in_flight: usize,
    /// The endpoint's state, as listed.
    state: EndpointState,
    /// When the endpoint last started, as listed.
    started: Option<Duration>,
}

impl EndpointSlot {
    /// Returns the state of an endpoint that was not listed before.
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

    /// Applies an entry of the list.
    ///
    /// Begins `epoch` if the endpoint has moved or restarted, or accepts no new requests: the
    /// connections of the old epoch are then of no use.
    fn update(&mut self, listed: &ListedEndpoint, epoch: Epoch) {
        let moved_or_restarted =
            self.address != listed.address || self.started != listed.entry.started;
        self.address = listed.address;
        self.started = listed.entry.started;
        self.state = listed.entry.state;
        if moved_or_restarted || !self.is_ready() {
            self.begin_epoch(epoch);
        }
    }

    /// Closes the idle connections and fails the waiters of the previous epoch.
    ///
    /// The balancer has to decide again on the waiting attempts, because an attempt that was
    /// permitted in the previous epoch may not be permitted in this one.
    fn begin_epoch(&mut self, epoch: Epoch) {
        self.epoch = epoch;
        self.dials_in_flight = 0;
        self.idle.close_all();
        self.waiters.fail_all(CheckoutError::EndpointUnavailable);
    }
}

/// The listed endpoints by their ids.
#[derive(Default)]
pub(super) struct EndpointTable {
    slots: BTreeMap<EndpointId, EndpointSlot>,
    /// The last epoch that was assigned to any endpoint.
    last_epoch: Epoch,
}

impl EndpointTable {
    /// Applies an update of the endpoint list.
    ///
    /// Removed endpoints are deleted from the table: nothing more is sent to them, and the table
    /// would otherwise grow with each endpoint that is replaced.
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

    /// Removes the endpoints that are missing from a complete list.
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

    /// Returns the endpoint, regardless of its epoch.
    pub(super) fn get_mut(&mut self, id: EndpointId) -> Option<&mut EndpointSlot> {
        self.slots.get_mut(&id)
    }

    /// Returns the endpoint, regardless of its state.
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

    /// Returns the endpoint if it is still in `epoch`.
    pub(super) fn in_epoch(&self, id: EndpointId, epoch: Epoch) -> Option<&EndpointSlot> {
        self.slots.get(&id).filter(|slot| slot.epoch == epoch)
    }

    /// Returns the endpoint for modification if it is still in `epoch`.
    pub(super) fn in_epoch_mut(
        &mut self,
        id: EndpointId,
        epoch: Epoch,
    ) -> Option<&mut EndpointSlot> {
        self.slots.get_mut(&id).filter(|slot| slot.epoch == epoch)
    }

    /// Closes the expired idle connections of all endpoints.
    pub(super) fn evict_expired(&mut self, now: Duration, idle_timeout: Duration) {
        for slot in self.slots.values_mut() {
            slot.idle.evict_expired(now, idle_timeout);
        }
    }

    /// Closes the longest idle connection of all endpoints; returns false if none is idle.
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
