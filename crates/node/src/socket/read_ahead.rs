//! A bounded buffer for bytes that are read from a stream before hyper asks for them.

use std::cell::RefCell;

/// The capacity of the read-ahead buffer.
pub(super) const MAX_READ_AHEAD_BYTES: usize = 8 * 1024;

/// A buffer of at most [`MAX_READ_AHEAD_BYTES`] that were read ahead and not yet passed to hyper.
#[derive(Default)]
pub(super) struct ReadAheadBuffer(RefCell<Vec<u8>>);

impl ReadAheadBuffer {
    /// Returns how many more bytes fit into the buffer.
    pub(super) fn remaining_capacity(&self) -> usize {
        MAX_READ_AHEAD_BYTES - self.0.borrow().len()
    }

    /// Returns whether every byte that was read ahead has been passed to hyper.
    pub(super) fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }

    /// Appends bytes. The caller passes no more than the remaining capacity.
    pub(super) fn push(&self, bytes: &[u8]) {
        self.0.borrow_mut().extend_from_slice(bytes);
    }

    /// Calls `take` with the bytes, and removes as many from their start as it returns.
    pub(super) fn drain_with(&self, take: impl FnOnce(&[u8]) -> usize) {
        let mut bytes = self.0.borrow_mut();
        let count = take(&bytes);
        bytes.drain(..count);
    }

    /// Removes all bytes and frees their memory.
    pub(super) fn take(&self) -> Vec<u8> {
        self.0.take()
    }
}
