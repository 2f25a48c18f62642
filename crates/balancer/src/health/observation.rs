//! What the end of an attempt shows about its endpoint: whether it is healthy, and whether it
//! responds in time.

use crate::endpoints::HealthSignal;
use crate::numeric::Seconds;
use crate::requests::{Attempt, PendingRequest};
use crate::{AttemptEnd, Outcome, RequestClass};
use std::time::Duration;

/// An attempt is near its deadline if it has taken more than this many quarters of its time
/// ([`is_near_deadline`]).
const NEAR_DEADLINE_QUARTERS: u32 = 3;
/// The same for a class in which late responses have a weight.
const NEAR_DEADLINE_QUARTERS_WITH_LATE_WEIGHT: u32 = 5;

/// Whether an endpoint responds in time at the load that it had when an attempt started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timeliness {
    /// The endpoint responds in time.
    InTime,
    /// The endpoint responds late or not at all, or rejects requests.
    Late,
}

/// The class of a request, and the response times observed in it.
pub(crate) struct ClassContext<'a> {
    /// The class from the settings.
    pub class: &'a RequestClass,
    /// The mean response time of the class.
    pub mean_response_time: Seconds,
}

/// What the end of an attempt shows about its endpoint.
pub(crate) struct Observation {
    outcome: Outcome,
    /// Whether the attempt timed out or was cancelled, and was overdue by then.
    abandoned_overdue: bool,
    /// Whether the attempt took nearly all of its time, or more.
    near_deadline: bool,
}

impl Observation {
    /// Returns what the end of an attempt, observed at `now`, shows about its endpoint.
    pub(crate) fn new(
        request: &PendingRequest,
        attempt: &Attempt,
        end: &AttemptEnd,
        context: &ClassContext,
        now: Duration,
    ) -> Self {
        let was_abandoned = matches!(end.outcome, Outcome::TimedOut | Outcome::Cancelled);
        let mean_response_time = context.mean_response_time;
        Observation {
            outcome: end.outcome,
            abandoned_overdue: was_abandoned && is_overdue(attempt, end, mean_response_time, now),
            near_deadline: is_near_deadline(request, attempt, end, context.class),
        }
    }

    /// Returns the signal on the health of the endpoint, if there is one.
    pub(crate) fn health(&self) -> Option<HealthSignal> {
        match self.outcome {
            Outcome::Served if self.near_deadline => Some(HealthSignal::RespondedLate),
            Outcome::Served => Some(HealthSignal::Responded),
            Outcome::ConnectFailed => Some(HealthSignal::Unreachable),
            Outcome::Error | Outcome::TimedOut | Outcome::Reset => Some(HealthSignal::Failed),
            _ if self.abandoned_overdue => Some(HealthSignal::Failed),
            _ => None,
        }
    }

    /// Returns whether the endpoint responds in time at the load that it had, if the attempt shows
    /// that.
    pub(crate) fn timeliness(&self) -> Option<Timeliness> {
        match self.outcome {
            Outcome::Served if !self.near_deadline => Some(Timeliness::InTime),
            Outcome::Served | Outcome::Rejected => Some(Timeliness::Late),
            _ if self.abandoned_overdue => Some(Timeliness::Late),
            _ => None,
        }
    }
}

/// Returns whether an attempt took at least the mean response time of its class, and its end was
/// observed less than a quarter of that time after it expired. If the end is observed later, this
/// node was paused, and the attempt does not show that the endpoint is slow.
fn is_overdue(
    attempt: &Attempt,
    end: &AttemptEnd,
    mean_response_time: Seconds,
    now: Duration,
) -> bool {
    let delay = Seconds::from(now) - Seconds::from(attempt.expires);
    let was_observed_promptly = (Seconds::ZERO..mean_response_time / 4.0).contains(&delay);
    was_observed_promptly && Seconds::from(end.elapsed) >= mean_response_time
}

/// Returns whether an attempt took more than three quarters of its time, or more than five quarters
/// if its class gives weight to late responses. Its time is the latency objective, or the time that
/// was left until the request's deadline if that is shorter.
fn is_near_deadline(
    request: &PendingRequest,
    attempt: &Attempt,
    end: &AttemptEnd,
    class: &RequestClass,
) -> bool {
    let time_left = request.deadline - attempt.started;
    let quarters = if class.late_weight > 0.0 {
        NEAR_DEADLINE_QUARTERS_WITH_LATE_WEIGHT
    } else {
        NEAR_DEADLINE_QUARTERS
    };
    4 * end.elapsed > quarters * class.latency_objective.min(time_left)
}
