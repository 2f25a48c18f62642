//! Epochs of endpoints, which tell connections to one run of an endpoint from those to the next.

/// One run of an endpoint at one address while it takes new requests.
///
/// No epoch is used twice, also when an endpoint is removed from the list and added again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Epoch(u64);

impl Epoch {
    /// Returns the epoch after this one.
    pub fn next(self) -> Self {
        Epoch(self.0 + 1)
    }
}
