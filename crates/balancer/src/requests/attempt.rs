//! Attempts at a request.

use crate::{EndpointEntry, Outcome};
use std::time::Duration;

/// An attempt at a request, and how it ended.
pub(crate) struct Attempt {
    /// The endpoint, as it was listed when the attempt started.
    pub endpoint: EndpointEntry,
    /// When the attempt started.
    pub started: Duration,
    /// When its timeout expires.
    pub expires: Duration,
    /// The estimated load level of the endpoint when the attempt started.
    pub load_level: usize,
    /// How it ended; `None` while it is in flight.
    pub outcome: Option<Outcome>,
}

impl Attempt {
    /// Returns whether the endpoint may have run the request.
    pub(crate) fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }

    /// Returns whether the attempt has not ended yet.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }
}
