//! Epochs of endpoints, which show whether an endpoint has moved, restarted or drained since a
//! connection to it was dialled.

/// A period in which an endpoint runs without a restart, at one address, and accepts new requests.
///
/// No epoch is used twice, even if an endpoint is removed from the list and added again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Epoch(u64);

impl Epoch {
    /// Returns the epoch after this one.
    pub(crate) fn next(self) -> Self {
        Epoch(self.0 + 1)
    }
}
