//! The call ids (X-Call-Id) that must not be used by another request. They are unique, since
//! endpoints could not distinguish the attempts of two requests with the same id.

use super::recent_call_ids::RecentCallIds;
use super::request_error::RequestError;
use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::HashSet;

/// The call ids of the requests in flight, and of those that may still run at an endpoint.
#[derive(Default)]
pub(super) struct CallIds {
    in_flight: RefCell<HashSet<HeaderValue>>,
    unsettled: RefCell<RecentCallIds>,
}

impl CallIds {
    /// Reserves an id until the returned guard is dropped.
    ///
    /// # Errors
    ///
    /// Returns [`RequestError::CallInFlight`] if the id is in use, and
    /// [`RequestError::CallMayHaveRun`] if its request may still run.
    pub(super) fn reserve(&self, id: &HeaderValue) -> Result<CallIdReservation<'_>, RequestError> {
        if self.unsettled.borrow().contains(id) {
            return Err(RequestError::CallMayHaveRun);
        }
        if !self.in_flight.borrow_mut().insert(id.clone()) {
            return Err(RequestError::CallInFlight);
        }
        Ok(CallIdReservation {
            call_ids: self,
            id: id.clone(),
            is_settled: false,
        })
    }
}

/// Keeps a call id in use until it is dropped. The id stays unusable after that, unless
/// [`CallIdReservation::settle`] was called: its client may have left while the request runs.
pub(super) struct CallIdReservation<'a> {
    call_ids: &'a CallIds,
    id: HeaderValue,
    is_settled: bool,
}

impl CallIdReservation<'_> {
    /// Records that the request was served, or surely never ran. Its id may be used again.
    pub(super) fn settle(&mut self) {
        self.is_settled = true;
    }
}

impl Drop for CallIdReservation<'_> {
    fn drop(&mut self) {
        self.call_ids.in_flight.borrow_mut().remove(&self.id);
        if !self.is_settled {
            self.call_ids.unsettled.borrow_mut().add(&self.id);
        }
    }
}
