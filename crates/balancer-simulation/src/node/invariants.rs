//! The invariants of a node. Deadlines are checked at each tick, everything else at each action:
//!
//! 1. Each request gets exactly one final response, by its deadline, and no attempt starts after
//!    that response. [`NodeSimulation::finish_request`] detects a second response.
//! 2. A request that may have run is retried or shed only if its idempotency allows that. A shed
//!    response tells the client that it may send the request again, which may reach any endpoint.
//! 3. No attempt starts at an endpoint that has been draining or removed from the list for longer
//!    than the grace period.
//!
//! The checks also cover the limits in the settings: on the number of attempts, and on whether
//! parallel attempts, cancellations and health checks are allowed.
//!
//! Invariant 4, the limit of an endpoint in slow start, concerns the attempts of all nodes
//! together. [`fleet`](crate::fleet) measures them.

use super::NodeSimulation;
use super::requests::{Attempt, RequestState};
use ottertiller_balancer::{
    EndpointEntry, EndpointId, Idempotency, IdempotencyScope, Outcome, RequestId,
};
use std::time::Duration;

/// How late a final response may be, because of the precision of timers.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(5);

impl NodeSimulation {
    /// Checks invariant 1: no request is unfinished after its deadline.
    pub(super) fn check_deadlines(&self) {
        for (id, request) in &self.requests {
            let in_time = self.now <= request.deadline + DEADLINE_TOLERANCE;
            assert!(
                request.finished || in_time,
                "invariant 1: {id:?} has no final response after its deadline"
            );
        }
    }

    /// Checks that a request may be shed now (invariant 2). A retry by the client may reach any
    /// endpoint, so a request keyed within a zone or cell must not have run.
    pub(super) fn check_shed(&self, id: RequestId) {
        let request = self
            .requests
            .get(&id)
            .expect("invariant 1: the node sheds a request that it never received");
        let may_be_shed = match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent
            | Idempotency::Keyed {
                scope: IdempotencyScope::All,
                ..
            } => true,
            _ => first_that_may_have_run(request).is_none(),
        };
        assert!(
            may_be_shed,
            "invariant 2: {id:?} is shed although it may have run"
        );
    }

    /// Checks that the settings allow the cancellation of attempts.
    pub(super) fn check_cancellation(&self) {
        assert!(
            self.settings.limits.allow_cancellation,
            "the node cancels an attempt although the settings forbid it"
        );
    }

    /// Checks that the settings allow health checks.
    pub(super) fn check_health_check(&self) {
        assert!(
            self.settings.limits.allow_health_checks,
            "the node sends a health check although the settings forbid it"
        );
    }

    /// Checks that an attempt of a request may start at an endpoint now.
    pub(super) fn check_attempt(&self, id: RequestId, endpoint: EndpointId) {
        let request = self
            .requests
            .get(&id)
            .expect("invariant 1: the node starts an attempt of a request that it never received");
        assert!(
            !request.finished,
            "invariant 1: an attempt of {id:?} starts after its final response"
        );
        let listed = self
            .listed
            .get(&endpoint)
            .expect("the node starts an attempt at an endpoint that was never listed");
        let grace = self.settings.rules.drain_grace;
        let in_grace = listed
            .unavailable_since
            .is_none_or(|at| self.now <= at + grace);
        assert!(
            in_grace,
            "invariant 3: an attempt starts at {endpoint:?}, which has been draining or removed \
             for longer than the grace period"
        );
        let limits = &self.settings.limits;
        assert!(
            request.attempts.len() < limits.max_attempts as usize,
            "{id:?} has more attempts than the settings allow"
        );
        let is_parallel = request
            .attempts
            .iter()
            .any(|attempt| attempt.outcome.is_none());
        assert!(
            !is_parallel || limits.allow_parallel_attempts,
            "{id:?} has two attempts in flight although the settings forbid it"
        );
        if let Some(first) = first_that_may_have_run(request) {
            let allowed = self.may_run_again(request.class, first, &listed.entry);
            assert!(
                allowed,
                "invariant 2: {id:?} is sent to {endpoint:?} although it may have run"
            );
        }
    }

    /// Returns whether a request that may have run in the attempt `first` may be sent to the
    /// endpoint `to` now.
    fn may_run_again(&self, class: usize, first: &Attempt, to: &EndpointEntry) -> bool {
        match self.settings.classes[class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => false,
            Idempotency::Keyed { scope, window } => {
                let first_endpoint = &self.listed[&first.endpoint].entry;
                let same_scope = match scope {
                    IdempotencyScope::All => true,
                    IdempotencyScope::Zone => first_endpoint.zone == to.zone,
                    IdempotencyScope::Cell => first_endpoint.cell == to.cell,
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
        .find(|attempt| !attempt.outcome.is_some_and(never_ran))
}

/// Returns whether an outcome proves that the request never ran. This is independent of
/// [`Outcome::never_ran`], which the balancer uses.
fn never_ran(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
    )
}
