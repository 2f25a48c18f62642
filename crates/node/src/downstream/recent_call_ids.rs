//! The call ids of requests that have ended without a response that settles whether they ran. An
//! endpoint may still work on such a request, so it must not be sent again under the same id.

use hyper::header::HeaderValue;
use std::collections::{HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};

/// How many ids are remembered, about 20 bytes each. A client never uses an id twice, so only
/// clients that do not follow the protocol repeat one, and they do so soon.
const MAX_REMEMBERED: usize = 16 * 1024;

/// The ids that were added last, at most [`MAX_REMEMBERED`]. Each takes the same memory, however
/// long it is, since only its hash is kept.
#[derive(Default)]
pub(super) struct RecentCallIds {
    hash_builder: RandomState,
    hashes: HashSet<u64>,
    /// The hashes in the order in which they were added.
    order: VecDeque<u64>,
}

impl RecentCallIds {
    /// Adds an id, and forgets the oldest one if there are too many.
    pub(super) fn add(&mut self, id: &HeaderValue) {
        let hash = self.hash_builder.hash_one(id);
        if !self.hashes.insert(hash) {
            return;
        }
        self.order.push_back(hash);
        if self.order.len() > MAX_REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.hashes.remove(&oldest);
        }
    }

    /// Returns whether the id was added, and has not been forgotten.
    pub(super) fn contains(&self, id: &HeaderValue) -> bool {
        self.hashes.contains(&self.hash_builder.hash_one(id))
    }
}

#[cfg(test)]
mod tests;
