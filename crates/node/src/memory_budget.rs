//! The memory budget for bodies. The body of a request or response is read only once its bytes have
//! been leased.

use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The budget of bytes for bodies. Clones share it.
#[derive(Clone)]
pub(crate) struct MemoryBudget {
    /// The bytes that are not leased. [`Bytes`] may be dropped on any thread, so its owner, a
    /// [`MemoryLease`], needs an atomic.
    available: Arc<AtomicUsize>,
}

/// A part of the budget. Its bytes are returned when it is dropped.
pub(crate) struct MemoryLease {
    budget: MemoryBudget,
    bytes: usize,
}

impl MemoryBudget {
    /// Creates a budget of `bytes`.
    pub(crate) fn new(bytes: usize) -> Self {
        MemoryBudget {
            available: Arc::new(AtomicUsize::new(bytes)),
        }
    }

    /// Leases `bytes`; `None` if fewer are available.
    pub(crate) fn lease(&self, bytes: usize) -> Option<MemoryLease> {
        let subtract = |available: usize| available.checked_sub(bytes);
        self.available
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract)
            .ok()?;
        Some(MemoryLease {
            budget: self.clone(),
            bytes,
        })
    }

    /// Returns how many bytes may still be leased.
    #[cfg(test)]
    pub(crate) fn available(&self) -> usize {
        self.available.load(Ordering::Relaxed)
    }
}

impl MemoryLease {
    /// Ties the lease to the bytes it is for. It ends when their last copy is dropped.
    pub(crate) fn keep(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(LeasedBytes {
            bytes,
            _lease: self,
        })
    }
}

impl Drop for MemoryLease {
    fn drop(&mut self) {
        self.budget
            .available
            .fetch_add(self.bytes, Ordering::Relaxed);
    }
}

/// Bytes together with their lease.
struct LeasedBytes {
    bytes: Bytes,
    _lease: MemoryLease,
}

impl AsRef<[u8]> for LeasedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
