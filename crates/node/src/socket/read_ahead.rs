//! A bounded buffer of bytes that were read before hyper asked for them.

use hyper::rt::ReadBufCursor;
use std::cell::RefCell;

/// The most bytes that are read ahead.
pub const MAX_READ_AHEAD_BYTES: usize = 8 * 1024;

/// Bytes that were read ahead, [`MAX_READ_AHEAD_BYTES`] at most.
#[derive(Default)]
pub struct ReadAhead(RefCell<Vec<u8>>);

impl ReadAhead {
    /// Returns how many more bytes may be read ahead.
    pub fn room(&self) -> usize {
        MAX_READ_AHEAD_BYTES - self.0.borrow().len()
    }

    /// Returns whether hyper has got all that was read ahead.
    pub fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }

    /// Adds bytes for which there is room.
    pub fn push(&self, bytes: &[u8]) {
        self.0.borrow_mut().extend_from_slice(bytes);
    }

    /// Moves as many bytes as fit to hyper's buffer; returns false if there are none.
    pub fn take(&self, buffer: &mut ReadBufCursor<'_>) -> bool {
        let mut bytes = self.0.borrow_mut();
        if bytes.is_empty() {
            return false;
        }
        let count = buffer.remaining().min(bytes.len());
        buffer.put_slice(&bytes[..count]);
        bytes.drain(..count);
        true
    }
}
