//! The bytes that an endpoint has sent behind a response.

use bytes::Bytes;
use std::cell::RefCell;
use std::rc::Rc;

/// What an endpoint has sent behind a response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum Trailing {
    /// Nothing.
    #[default]
    Nothing,
    /// Bytes, of which these have been read.
    Read(Bytes),
    /// Bytes, none of which have been read.
    Unread,
}

/// What the HTTP layer of a connection found behind the last response when it ended. Nothing while
/// it runs, since it ends once it finds something.
#[derive(Clone, Default)]
pub(super) struct TrailingBytes(Rc<RefCell<Trailing>>);

impl TrailingBytes {
    /// Records what was found.
    pub(super) fn set(&self, trailing: Trailing) {
        *self.0.borrow_mut() = trailing;
    }

    /// Returns what was found.
    pub(super) fn get(&self) -> Trailing {
        self.0.borrow().clone()
    }
}
