//! The call ids (X-Call-Id) of the requests in flight. They are unique, since endpoints could not
//! distinguish the attempts of two concurrent requests with the same id.

use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::HashSet;

/// The set of the call ids that are in use.
#[derive(Default)]
pub(super) struct InFlightCallIds {
    ids: RefCell<HashSet<HeaderValue>>,
}

impl InFlightCallIds {
    /// Reserves an id until the returned guard is dropped. Returns `None` if the id is in use.
    pub(super) fn reserve(&self, id: &HeaderValue) -> Option<CallIdReservation<'_>> {
        let is_new = self.ids.borrow_mut().insert(id.clone());
        is_new.then(|| CallIdReservation {
            in_flight: self,
            id: id.clone(),
        })
    }
}

/// Keeps a call id in use until it is dropped.
pub(super) struct CallIdReservation<'a> {
    in_flight: &'a InFlightCallIds,
    id: HeaderValue,
}

impl Drop for CallIdReservation<'_> {
    fn drop(&mut self) {
        self.in_flight.ids.borrow_mut().remove(&self.id);
    }
}
