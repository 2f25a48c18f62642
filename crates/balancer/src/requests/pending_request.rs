//! The requests of this node that await their final answer or the end of an attempt.

use crate::{EndpointEntry, Idempotency, Outcome};
use std::time::Duration;

/// An attempt at a request, and how it ended.
pub struct Attempt {
    /// The endpoint, as it was listed when the attempt started.
    pub endpoint: EndpointEntry,
    /// When it started.
    pub started: Duration,
    /// When its timeout expires.
    pub expires: Duration,
    /// The estimated load of the endpoint when the attempt started.
    pub load_level: usize,
    /// `None` while it is in flight.
    pub outcome: Option<Outcome>,
}

impl Attempt {
    /// Whether the endpoint may have run the request.
    pub fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }

    /// Whether it has not ended yet.
    pub fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }
}

/// A request that awaits its final answer, or the end of some attempts.
pub struct PendingRequest {
    /// The index of its class in the settings.
    pub class: usize,
    /// How far it may be retried.
    pub idempotency: Idempotency,
    /// Its declared work as a multiple of the mean request's.
    pub relative_work: f64,
    /// Its priority against the mean request's.
    pub priority: f64,
    /// The latest time at which a response is still of use.
    pub deadline: Duration,
    /// Its attempts, in the order of sending.
    pub attempts: Vec<Attempt>,
    /// It has had its health checks, or must do without.
    pub health_checked: bool,
    /// Its response is being streamed.
    pub streaming: bool,
    /// It needs no answer any more.
    pub closed: bool,
}

impl PendingRequest {
    /// How many attempts are in flight.
    pub fn in_flight(&self) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| attempt.is_in_flight())
            .count()
    }

    /// The latest attempt in flight.
    pub fn last_in_flight(&self) -> Option<&Attempt> {
        self.attempts.iter().rfind(|attempt| attempt.is_in_flight())
    }

    /// The first attempt that may have run the request.
    pub fn first_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run())
    }

    /// Whether a next attempt would be a retry or a hedged request.
    pub fn was_attempted(&self) -> bool {
        !self.attempts.is_empty()
    }

    /// Whether an attempt was sent to this endpoint.
    pub fn was_sent_to(&self, endpoint: &EndpointEntry) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.endpoint.id == endpoint.id)
    }
}
