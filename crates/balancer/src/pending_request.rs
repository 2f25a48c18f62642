//! The requests of this node that await their final answer or the end of an attempt.

use crate::endpoint::EndpointEntry;
use crate::request::Outcome;
use crate::settings::Idempotency;
use std::time::Duration;

/// An attempt at a request, and how it ended.
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointEntry,
    pub(crate) started: Duration,
    /// When its timeout expires.
    pub(crate) expires: Duration,
    /// The estimated load of the endpoint when the attempt started.
    pub(crate) load_level: usize,
    /// `None` while it is in flight.
    pub(crate) outcome: Option<Outcome>,
}

impl Attempt {
    pub(crate) fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }

    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }
}

/// A request that awaits its final answer, or the end of some attempts.
pub(crate) struct PendingRequest {
    pub(crate) class: usize,
    pub(crate) idempotency: Idempotency,
    /// Its declared work as a multiple of the mean request's.
    pub(crate) relative_work: f64,
    /// Its priority against the mean request's.
    pub(crate) priority: f64,
    /// The latest time at which a response is still of use.
    pub(crate) deadline: Duration,
    pub(crate) attempts: Vec<Attempt>,
    /// It has had its health checks, or must do without.
    pub(crate) health_checked: bool,
    /// Its response is being streamed.
    pub(crate) streaming: bool,
    /// It needs no answer any more.
    pub(crate) closed: bool,
}

impl PendingRequest {
    /// How many attempts are in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.is_in_flight()).count()
    }

    pub(crate) fn last_in_flight(&self) -> Option<&Attempt> {
        self.attempts.iter().rfind(|attempt| attempt.is_in_flight())
    }

    pub(crate) fn first_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run())
    }

    /// Whether a next attempt would be a retry or a hedged request.
    pub(crate) fn was_attempted(&self) -> bool {
        !self.attempts.is_empty()
    }

    pub(crate) fn was_sent_to(&self, endpoint: &EndpointEntry) -> bool {
        self.attempts.iter().any(|attempt| attempt.endpoint.id == endpoint.id)
    }
}
