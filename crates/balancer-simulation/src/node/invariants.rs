//! The invariants of a node, checked for each action:
//!
//! 1. each request has exactly one final response, by its deadline;
//! 2. a request that may have run is retried or shed only as far as its idempotency allows;
//! 3. no attempt starts at an endpoint that drains or was removed, once the grace period is over.
//!
//! Invariant 4, the limit of an endpoint in slow start, depends on all nodes:
//! [`fleet`](crate::fleet) counts what they send.

use super::NodeSimulation;
use super::requests::{Attempt, RequestState};
use ottertiller_balancer::{
    EndpointEntry, EndpointId, Idempotency, IdempotencyScope, Outcome, RequestId,
};
use std::time::Duration;

/// The time that a final response may be late by: the precision of timers.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(5);

impl NodeSimulation {
    /// Checks invariant 1: no request is unfinished after its deadline.
    pub(super) fn check_deadlines(&self) {
        for (id, request) in &self.requests {
            let in_time = self.now <= request.deadline + DEADLINE_TOLERANCE;
            assert!(
                request.finished || in_time,
                "invariant 1: {id:?} has no final response"
            );
        }
    }

    /// Checks that a request may be shed now.
    pub(super) fn check_shed(&self, id: RequestId) {
        let request = self
            .requests
            .get(&id)
            .expect("invariant 1: sheds a request it was not given");
        let may_be_shed = match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent
            | Idempotency::Keyed {
                scope: IdempotencyScope::All,
                ..
            } => true,
            _ => first_that_may_have_run(request).is_none(),
        };
        assert!(may_be_shed, "invariant 2: {id:?} may have run and is shed");
    }

    /// Checks that attempts may be cancelled.
    pub(super) fn check_cancellation(&self) {
        assert!(
            self.settings.limits.allow_cancellation,
            "cancels where that is not allowed"
        );
    }

    /// Checks that health checks may be sent.
    pub(super) fn check_health_check(&self) {
        assert!(
            self.settings.limits.allow_health_checks,
            "health checks where they are not allowed"
        );
    }

    /// Checks that a request may be sent to an endpoint now.
    pub(super) fn check_attempt(&self, id: RequestId, endpoint: EndpointId) {
        let request = self
            .requests
            .get(&id)
            .expect("invariant 1: sends a request it was not given");
        assert!(
            !request.finished,
            "invariant 1: {id:?} is sent after its final response"
        );
        let listed = self
            .listed
            .get(&endpoint)
            .expect("sends to an endpoint that was never listed");
        let grace = self.settings.rules.drain_grace;
        let in_grace = listed.stopped.is_none_or(|at| self.now <= at + grace);
        assert!(in_grace, "invariant 3: {endpoint:?} drains or was removed");
        let limits = &self.settings.limits;
        assert!(
            request.attempts.len() < limits.max_attempts as usize,
            "too many attempts"
        );
        let is_parallel = request
            .attempts
            .iter()
            .any(|attempt| attempt.outcome.is_none());
        assert!(
            !is_parallel || limits.allow_parallel_attempts,
            "two attempts at once"
        );
        if let Some(first) = first_that_may_have_run(request) {
            let allowed = self.may_run_again(request.class, first, &listed.entry);
            assert!(
                allowed,
                "invariant 2: {id:?} may have run and is sent to {endpoint:?}"
            );
        }
    }

    /// Returns whether a request may be sent to an endpoint now that may have run in this attempt.
    fn may_run_again(&self, class: usize, first: &Attempt, to: &EndpointEntry) -> bool {
        match self.settings.classes[class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => false,
            Idempotency::Keyed { scope, window } => {
                let home = &self.listed[&first.endpoint].entry;
                let same_scope = match scope {
                    IdempotencyScope::All => true,
                    IdempotencyScope::Zone => home.zone == to.zone,
                    IdempotencyScope::Cell => home.cell == to.cell,
                };
                same_scope && self.now <= first.started + window
            }
        }
    }
}

/// Returns the first attempt in which a request may have run.
fn first_that_may_have_run(request: &RequestState) -> Option<&Attempt> {
    request
        .attempts
        .iter()
        .find(|attempt| !attempt.outcome.is_some_and(proves_no_run))
}

/// Returns whether an outcome proves that the request did not run.
fn proves_no_run(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
    )
}
