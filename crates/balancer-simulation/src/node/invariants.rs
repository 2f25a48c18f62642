//! The rules that a node must keep, checked for each action:
//!
//! 1. each request has exactly one final response, by its deadline;
//! 2. a request that may have run is retried or shed only as far as its idempotency allows;
//! 3. nothing is sent to an endpoint that drains or has gone, once the grace period is over.
//!
//! Rule 4, on endpoints in slow start, depends on all nodes: [`fleet`](super::super::fleet) counts
//! what they send.

use super::{Attempt, NodeSimulation, RequestState};
use ottertiller_balancer::{EndpointEntry, EndpointId, Idempotency, Outcome, RequestId, Scope};
use std::time::Duration;

/// What a client may wait beyond the deadline: the precision of timers.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(5);

impl NodeSimulation {
    pub(super) fn check_deadlines(&self) {
        for (id, request) in &self.requests {
            let in_time = self.now <= request.deadline + DEADLINE_TOLERANCE;
            assert!(
                request.answered || in_time,
                "rule 1: {id:?} has no response"
            );
        }
    }

    pub(super) fn check_shed(&self, id: RequestId) {
        let request = self
            .requests
            .get(&id)
            .expect("rule 1: sheds a request it was not given");
        let may_be_shed = match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent
            | Idempotency::Keyed {
                scope: Scope::All, ..
            } => true,
            _ => first_that_may_have_run(request).is_none(),
        };
        assert!(may_be_shed, "rule 2: {id:?} may have run and is shed");
    }

    pub(super) fn check_attempt(&self, id: RequestId, endpoint: EndpointId) {
        let request = self
            .requests
            .get(&id)
            .expect("rule 1: sends a request it was not given");
        assert!(
            !request.answered,
            "rule 1: {id:?} is sent after its response"
        );
        let listed = self
            .listed
            .get(&endpoint)
            .expect("sends to an endpoint that was never listed");
        let grace = self.settings.rules.drain_grace;
        let in_grace = listed.stopped.is_none_or(|at| self.now <= at + grace);
        assert!(in_grace, "rule 3: {endpoint:?} drains or has gone");
        let limits = &self.settings.limits;
        assert!(
            request.attempts.len() < limits.max_attempts as usize,
            "too many attempts"
        );
        let parallel = request
            .attempts
            .iter()
            .any(|attempt| attempt.outcome.is_none());
        assert!(
            !parallel || limits.parallel_attempts,
            "two attempts at once"
        );
        if let Some(first) = first_that_may_have_run(request) {
            let allowed = self.may_run_again(request.class, first, &listed.entry);
            assert!(
                allowed,
                "rule 2: {id:?} may have run and is sent to {endpoint:?}"
            );
        }
    }

    /// Whether a request that may have run first in this attempt may be sent to an endpoint now.
    fn may_run_again(&self, class: usize, first: &Attempt, to: &EndpointEntry) -> bool {
        match self.settings.classes[class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => false,
            Idempotency::Keyed { scope, window } => {
                let home = &self.listed[&first.endpoint].entry;
                let same_scope = match scope {
                    Scope::All => true,
                    Scope::Zone => home.zone == to.zone,
                    Scope::Cell => home.cell == to.cell,
                };
                same_scope && self.now <= first.started + window
            }
        }
    }
}

fn first_that_may_have_run(request: &RequestState) -> Option<&Attempt> {
    request
        .attempts
        .iter()
        .find(|attempt| !attempt.outcome.is_some_and(proves_no_run))
}

/// The outcomes that the rules count as proof that a request did not run.
fn proves_no_run(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
    )
}
