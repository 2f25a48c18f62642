//! The memory budget for request and response bodies. A body is read only after memory for it has
//! been leased from the budget.

use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The memory budget for bodies, in bytes. Clones share one budget.
#[derive(Clone)]
pub(crate) struct MemoryBudget {
    /// The number of bytes that are not leased. It is atomic since a [`MemoryLease`] attached to
    /// [`Bytes`] ends with them, and [`Bytes`] may be dropped on any thread.
    available: Arc<AtomicUsize>,
}

/// A number of bytes leased from the budget. They are returned when the lease is dropped.
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

    /// Leases a number of bytes. Returns `None` if fewer are available.
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
    /// Attaches the lease to the body that it is for. The lease ends when the last clone of the
    /// returned bytes is dropped.
    pub(crate) fn attach_to(self, bytes: Bytes) -> Bytes {
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
