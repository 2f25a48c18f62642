//! Requests that wait for their final response or for the end of an attempt.

use super::attempt::Attempt;
use super::stage::RequestStage;
use crate::{EndpointEntry, Idempotency};
use std::time::Duration;

/// A request that waits for its final response or for the end of some of its attempts.
pub(crate) struct PendingRequest {
    /// The index of its class in the settings.
    pub class: usize,
    /// Whether and where it may be retried once it may have run.
    pub idempotency: Idempotency,
    /// Its declared work, as a multiple of the mean declared work.
    pub relative_work: f64,
    /// Its priority, as a multiple of the mean priority.
    pub priority: f64,
    /// The time until which a response is useful to the client.
    pub deadline: Duration,
    /// Its attempts, in the order in which they were sent.
    pub attempts: Vec<Attempt>,
    /// Its stage.
    pub stage: RequestStage,
}

impl PendingRequest {
    /// Records an attempt that has just started.
    pub(crate) fn add_attempt(&mut self, attempt: Attempt) {
        self.stage.finish_health_checks();
        self.attempts.push(attempt);
    }

    /// Returns the number of attempts in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| attempt.is_in_flight())
            .count()
    }

    /// Returns the latest attempt in flight.
    pub(crate) fn last_in_flight(&self) -> Option<&Attempt> {
        self.attempts.iter().rfind(|attempt| attempt.is_in_flight())
    }

    /// Returns the first attempt that may have run the request.
    pub(crate) fn first_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run())
    }

    /// Returns whether an attempt was sent, so that the next one is a retry or a hedged request.
    pub(crate) fn has_attempts(&self) -> bool {
        !self.attempts.is_empty()
    }

    /// Returns whether an attempt was sent to this endpoint.
    pub(crate) fn was_sent_to(&self, endpoint: &EndpointEntry) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.endpoint.id == endpoint.id)
    }
}
