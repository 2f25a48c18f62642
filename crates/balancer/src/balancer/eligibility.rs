//! The rules that every attempt must satisfy: where and when a request may be sent. No other
//! decision overrides them.

use super::Balancer;
use crate::EndpointState;
use crate::endpoints::Endpoint;
use crate::requests::PendingRequest;
use crate::retry::idempotency;

impl Balancer {
    /// Returns whether a request may be sent to an endpoint.
    ///
    /// The endpoint must be ready, so not draining, and either warm or holding a permit. The
    /// idempotency of the request must allow an attempt there, and no earlier attempt at the
    /// request may have been sent to it.
    pub(super) fn is_eligible(&self, endpoint: &Endpoint, request: &PendingRequest) -> bool {
        endpoint.entry.state == EndpointState::Ready
            && self
                .slow_start
                .allows(endpoint, request.relative_work, self.now)
            && idempotency::allows_attempt(request, &endpoint.entry, self.now)
            && !request.was_sent_to(&endpoint.entry)
    }

    /// Returns whether an attempt at a request may start now, given its attempts in flight.
    pub(super) fn allows_parallel_attempt(&self, request: &PendingRequest) -> bool {
        self.hedging
            .allows_attempt(request, self.response_times.median(), self.now)
    }

    /// Returns whether all rules allow an attempt at a request at this endpoint now.
    pub(super) fn may_start_attempt(&self, request: &PendingRequest, endpoint: &Endpoint) -> bool {
        let max_attempts = self.settings.limits.max_attempts.max(1) as usize;
        !request.stage.is_closed()
            && self.now < request.deadline
            && request.attempts.len() < max_attempts
            && self.allows_parallel_attempt(request)
            && self.is_eligible(endpoint, request)
    }
}
