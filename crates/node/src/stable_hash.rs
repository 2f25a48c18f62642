//! A hash that is the same at every node and after every restart.

use fnv::FnvHasher;
use std::hash::Hasher;

/// Returns the 64-bit FNV-1a hash of a text.
///
/// Nodes agree by it without a message between them: never change it.
pub(crate) fn stable_hash(text: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(text.as_bytes());
    hasher.finish()
}
