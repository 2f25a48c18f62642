//! A hash that is the same on every node and after every restart.

use fnv::FnvHasher;
use std::hash::Hasher;

/// Returns the 64-bit FNV-1a hash of a text.
///
/// Nodes rely on getting equal hashes without exchanging messages, also across versions, so the
/// function must never change.
pub(crate) fn stable_hash(text: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(text.as_bytes());
    hasher.finish()
}
