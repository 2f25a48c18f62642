//! The attempts of a request.

use crate::{EndpointEntry, Outcome};
use std::time::Duration;

/// An attempt of a request, in flight or ended.
pub(crate) struct Attempt {
    /// The endpoint's list entry at the start of the attempt.
    pub endpoint: EndpointEntry,
    /// When the attempt started.
    pub started: Duration,
    /// When its timeout expires.
    pub expires: Duration,
    /// The estimated load level of the endpoint when the attempt started.
    pub load_level: usize,
    /// The outcome; `None` while the attempt is in flight.
    pub outcome: Option<Outcome>,
}

impl Attempt {
    /// Returns whether the endpoint may have run the request.
    pub(crate) fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }

    /// Returns whether the attempt is in flight.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }
}
