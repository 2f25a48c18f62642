//! The X-Call-Ids of the requests in flight. Endpoints could not distinguish two concurrent
//! requests with one id.

use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::HashSet;

/// The set of ids in use.
#[derive(Default)]
pub struct OpenCalls {
    ids: RefCell<HashSet<HeaderValue>>,
}

impl OpenCalls {
    /// Reserves an id until the guard is dropped; `None` if it is in use.
    pub fn open(&self, id: &HeaderValue) -> Option<OpenCall<'_>> {
        let is_new = self.ids.borrow_mut().insert(id.clone());
        is_new.then(|| OpenCall {
            calls: self,
            id: id.clone(),
        })
    }
}

/// An id in use, until this is dropped.
pub struct OpenCall<'a> {
    calls: &'a OpenCalls,
    id: HeaderValue,
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.calls.ids.borrow_mut().remove(&self.id);
    }
}
