//! The memory budget for bodies: a request's or response's body is read only once its bytes have
//! been leased.

use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The bytes that may still be leased.
#[derive(Clone)]
pub struct Budget(Arc<AtomicUsize>);

/// A part of the budget, returned when it is dropped.
pub struct Lease {
    budget: Budget,
    bytes: usize,
}

impl Budget {
    /// Creates a budget of `bytes`.
    pub fn new(bytes: usize) -> Self {
        Budget(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Leases `bytes`; `None` if fewer are left.
    pub fn lease(&self, bytes: usize) -> Option<Lease> {
        let subtract = |left: usize| left.checked_sub(bytes);
        self.0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract)
            .ok()?;
        Some(Lease {
            budget: self.clone(),
            bytes,
        })
    }

    /// How many bytes may still be leased.
    #[cfg(test)]
    pub fn free(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

impl Lease {
    /// Ties the lease to the bytes it is for: it ends when the last copy of them is dropped.
    pub fn keep(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(LeasedBytes {
            bytes,
            _lease: self,
        })
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.budget.0.fetch_add(self.bytes, Ordering::Relaxed);
    }
}

/// Bytes together with the lease for them.
struct LeasedBytes {
    bytes: Bytes,
    _lease: Lease,
}

impl AsRef<[u8]> for LeasedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
