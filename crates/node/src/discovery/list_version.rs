//! The version of the endpoint list.

use ottertiller_balancer::ListKind;

/// The version of an endpoint list, which discovery counts up with each change; 0 before the first
/// list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListVersion(u64);

impl ListVersion {
    /// Returns the version of an update with this index. One without an index leaves the version as
    /// it is.
    pub fn of_update(self, index: Option<u64>) -> Self {
        index.map_or(self, ListVersion)
    }

    /// Returns the version as a number, as discovery writes it.
    pub fn number(self) -> u64 {
        self.0
    }

    /// Returns whether the list has a version, as every list with an index above 0 has.
    pub fn is_known(self) -> bool {
        self.0 > 0
    }

    /// Returns whether an update is older than the list of this version.
    ///
    /// Only deltas can be: a complete list replaces the list whatever its version.
    pub fn makes_stale(self, kind: ListKind, update: ListVersion) -> bool {
        kind == ListKind::Delta && update < self
    }

    /// Moves on to the version of an update that was applied. A stale delta changes nothing.
    pub fn advance(&mut self, kind: ListKind, update: ListVersion) {
        if !self.makes_stale(kind, update) {
            *self = update;
        }
    }
}

#[cfg(test)]
mod tests;
