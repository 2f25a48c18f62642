//! The bytes that an endpoint has sent behind a response.

use bytes::Bytes;
use std::cell::RefCell;
use std::rc::Rc;

/// The bytes that the HTTP layer of a connection has read beyond the last response. There are none
/// while the HTTP layer runs, since it ends once it finds such bytes.
#[derive(Clone, Default)]
pub(super) struct TrailingBytes(Rc<RefCell<Bytes>>);

impl TrailingBytes {
    /// Records the bytes.
    pub(super) fn set(&self, bytes: Bytes) {
        *self.0.borrow_mut() = bytes;
    }

    /// Returns the bytes.
    pub(super) fn get(&self) -> Bytes {
        self.0.borrow().clone()
    }
}
