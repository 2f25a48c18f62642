//! The version of the endpoint list.

use ottertiller_balancer::ListKind;

/// The version of an endpoint list, which discovery increments with each change; 0 before the first
/// list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ListVersion(u64);

impl ListVersion {
    /// Returns the version of an update with this index. An update without an index has the current
    /// version.
    pub(super) fn of_update(self, index: Option<u64>) -> Self {
        index.map_or(self, ListVersion)
    }

    /// Returns the version as a number, as discovery writes it.
    pub(super) fn number(self) -> u64 {
        self.0
    }

    /// Returns whether a list with an index above 0 has been applied.
    pub(super) fn is_known(self) -> bool {
        self.0 > 0
    }

    /// Returns whether an update is stale: a delta of a lower version than this one.
    ///
    /// A complete list is never stale: it replaces the current list regardless of its version.
    pub(super) fn supersedes(self, kind: ListKind, update: ListVersion) -> bool {
        kind == ListKind::Delta && update < self
    }

    /// Sets the version to that of an update that was applied. A stale update leaves it as it is.
    pub(super) fn advance(&mut self, kind: ListKind, update: ListVersion) {
        if !self.supersedes(kind, update) {
            *self = update;
        }
    }
}

#[cfg(test)]
mod tests;
