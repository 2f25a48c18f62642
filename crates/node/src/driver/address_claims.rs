//! The addresses of endpoints, of which each belongs to one process at a time.
//!
//! A new process may be listed at the address of one that has gone before the list says that the
//! old one has gone. What is sent to the old endpoint would then run at the new one. The old
//! endpoint is therefore treated as removed as soon as the list names a newer one at its address.

use crate::message::ListedEndpoint;
use ottertiller_balancer::{EndpointEntry, EndpointId, EndpointState, ListKind};
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// The number of endpoints beside the strongest one at which an address counts as shared. It then
/// identifies no process, for example behind a forwarder.
const MIN_SHARING_CONTENDERS: usize = 2;

/// A process as the list describes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Process {
    /// The address on which it listens.
    address: SocketAddr,
    /// When it started; `None` if that was long ago.
    started: Option<Duration>,
}

/// What earlier updates say of a claim. The variants are in ascending order of strength.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Standing {
    /// Another endpoint has claimed the address since this one did.
    Superseded,
    /// The endpoint had this address before the update.
    Held,
    /// The update is the first that names this process.
    New,
}

/// The claim of an endpoint to the address of its process.
#[derive(Clone, Copy, Debug)]
struct Claim {
    process: Process,
    standing: Standing,
}

impl Claim {
    /// Returns the strength of the claim. Of two claims to an address, the weaker one is superseded.
    /// Endpoints with claims of equal strength keep the address, since nothing shows which of them
    /// has gone.
    fn strength(&self) -> (Standing, Option<Duration>) {
        (self.standing, self.process.started)
    }
}

/// The claims of the listed endpoints.
#[derive(Default)]
pub(super) struct AddressClaims {
    by_id: BTreeMap<EndpointId, Claim>,
    /// The endpoints that claim an address, usually one.
    by_address: BTreeMap<SocketAddr, BTreeSet<EndpointId>>,
}

impl AddressClaims {
    /// Applies an update of the list. Changes the state of superseded endpoints in it to removed, and
    /// adds an entry for each other endpoint that is superseded now. Returns the addresses of those
    /// that were not superseded before.
    pub(super) fn apply(
        &mut self,
        kind: ListKind,
        listed: &mut Vec<ListedEndpoint>,
    ) -> Vec<SocketAddr> {
        let previous = match kind {
            ListKind::Snapshot | ListKind::Cached => self.take_all(),
            ListKind::Delta => self.take_named(listed),
            ListKind::Failed => return Vec::new(),
        };
        let claimed_addresses = self.insert_claims(listed, &previous);
        let mut superseded = BTreeMap::new();
        for address in claimed_addresses {
            self.settle(address, &mut superseded);
        }
        if superseded.is_empty() {
            return Vec::new();
        }
        for endpoint in listed.iter_mut() {
            if superseded.contains_key(&endpoint.entry.id) {
                endpoint.entry.state = EndpointState::Removed;
            }
        }
        let named: BTreeSet<_> = listed.iter().map(|endpoint| endpoint.entry.id).collect();
        superseded.retain(|_, claim| claim.standing != Standing::Superseded);
        let unnamed = superseded.iter().filter(|(id, _)| !named.contains(id));
        listed.extend(unnamed.map(|(id, claim)| removal(*id, claim)));
        superseded
            .values()
            .map(|claim| claim.process.address)
            .collect()
    }

    /// Removes and returns all claims.
    fn take_all(&mut self) -> BTreeMap<EndpointId, Claim> {
        self.by_address.clear();
        std::mem::take(&mut self.by_id)
    }

    /// Removes and returns the claims of the endpoints that an update names.
    fn take_named(&mut self, listed: &[ListedEndpoint]) -> BTreeMap<EndpointId, Claim> {
        let ids = listed.iter().map(|endpoint| endpoint.entry.id);
        ids.filter_map(|id| Some((id, self.take(id)?))).collect()
    }

    /// Removes and returns the claim of an endpoint, if it has one.
    fn take(&mut self, id: EndpointId) -> Option<Claim> {
        let claim = self.by_id.remove(&id)?;
        if let Entry::Occupied(mut ids) = self.by_address.entry(claim.process.address) {
            ids.get_mut().remove(&id);
            if ids.get().is_empty() {
                ids.remove();
            }
        }
        Some(claim)
    }

    /// Adds the claims of the endpoints that an update names, and returns the claimed addresses.
    fn insert_claims(
        &mut self,
        listed: &[ListedEndpoint],
        previous: &BTreeMap<EndpointId, Claim>,
    ) -> BTreeSet<SocketAddr> {
        let mut claimed_addresses = BTreeSet::new();
        for endpoint in listed {
            let id = endpoint.entry.id;
            // Of several entries of one endpoint, the last one counts.
            self.take(id);
            let Some(process) = process(endpoint) else {
                continue;
            };
            let standing = match previous.get(&id) {
                Some(claim) if claim.process == process => claim.standing,
                Some(_) | None => Standing::New,
            };
            self.by_id.insert(id, Claim { process, standing });
            self.by_address
                .entry(process.address)
                .or_default()
                .insert(id);
            claimed_addresses.insert(process.address);
        }
        claimed_addresses
    }

    /// Decides which endpoints hold an address, and adds the others to `superseded`, with their
    /// claims as they were before.
    fn settle(&mut self, address: SocketAddr, superseded: &mut BTreeMap<EndpointId, Claim>) {
        let ids = self.by_address.get(&address).into_iter().flatten();
        let weakest_holder = self.weakest_holder(ids.clone());
        for id in ids {
            let Some(claim) = self.by_id.get_mut(id) else {
                continue;
            };
            if Some(claim.strength()) < weakest_holder {
                superseded.insert(*id, *claim);
                claim.standing = Standing::Superseded;
            } else {
                claim.standing = Standing::Held;
            }
        }
    }

    /// Returns the strength of the weakest claim that holds its address, of endpoints that all claim
    /// the same one. If the address is shared, these are all that were not superseded before.
    fn weakest_holder<'a>(
        &self,
        ids: impl Iterator<Item = &'a EndpointId>,
    ) -> Option<(Standing, Option<Duration>)> {
        let claims = ids.filter_map(|id| self.by_id.get(id));
        let mut strengths: Vec<_> = claims.map(Claim::strength).collect();
        strengths.sort_unstable();
        let (strongest, weaker) = strengths.split_last()?;
        let contenders = weaker
            .iter()
            .filter(|(standing, _)| *standing != Standing::Superseded);
        if contenders.clone().count() < MIN_SHARING_CONTENDERS {
            return Some(*strongest);
        }
        contenders.min().copied()
    }
}

/// Returns the process of a listed endpoint; `None` if it is removed.
fn process(endpoint: &ListedEndpoint) -> Option<Process> {
    (endpoint.entry.state != EndpointState::Removed).then_some(Process {
        address: endpoint.address,
        started: endpoint.entry.started,
    })
}

/// Returns an entry that removes an endpoint.
fn removal(id: EndpointId, claim: &Claim) -> ListedEndpoint {
    ListedEndpoint {
        entry: EndpointEntry {
            id,
            state: EndpointState::Removed,
            ..EndpointEntry::default()
        },
        address: claim.process.address,
    }
}

#[cfg(test)]
mod tests;
