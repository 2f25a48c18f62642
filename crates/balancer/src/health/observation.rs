//! What the end of an attempt says of its endpoint: whether it is healthy, and whether it responds
//! in time.

use crate::endpoints::HealthSignal;
use crate::numeric::Seconds;
use crate::requests::{Attempt, PendingRequest};
use crate::{AttemptEnd, Outcome, RequestClass};
use std::time::Duration;

/// Whether an endpoint responds in time at a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timeliness {
    /// It does.
    InTime,
    /// It does not.
    Late,
}

/// The class of a request and the response times seen in it.
pub(crate) struct ClassContext<'a> {
    /// The class, as the settings have it.
    pub class: &'a RequestClass,
    /// The mean response time of the class.
    pub mean_response_time: Seconds,
}

/// What the end of an attempt says of its endpoint.
pub(crate) struct Observation {
    outcome: Outcome,
    /// Whether the attempt was abandoned after the time of a usual response.
    abandoned_overdue: bool,
    /// Whether the response came with hardly any time left for the client.
    near_deadline: bool,
}

impl Observation {
    /// Returns what the end of an attempt, seen at `now`, says of its endpoint.
    pub(crate) fn new(
        request: &PendingRequest,
        attempt: &Attempt,
        end: &AttemptEnd,
        context: &ClassContext,
        now: Duration,
    ) -> Self {
        let was_abandoned = matches!(end.outcome, Outcome::TimedOut | Outcome::Cancelled);
        let usual = context.mean_response_time;
        Observation {
            outcome: end.outcome,
            abandoned_overdue: was_abandoned && is_overdue(attempt, end, usual, now),
            near_deadline: is_near_deadline(request, attempt, end, context.class),
        }
    }

    /// Returns what it says of the endpoint's health, if anything.
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

    /// Returns whether the endpoint responds in time at the load that it had, if this says so.
    pub(crate) fn timeliness(&self) -> Option<Timeliness> {
        match self.outcome {
            Outcome::Served if !self.near_deadline => Some(Timeliness::InTime),
            Outcome::Served | Outcome::Rejected => Some(Timeliness::Late),
            _ if self.abandoned_overdue => Some(Timeliness::Late),
            _ => None,
        }
    }
}

/// Returns whether an attempt took as long as a usual response of its class, and was seen to end
/// when it expired. An end that is seen long after that says that this node paused, not that the
/// endpoint is slow.
fn is_overdue(attempt: &Attempt, end: &AttemptEnd, usual: Seconds, now: Duration) -> bool {
    let seen_late_by = Seconds::from(now) - Seconds::from(attempt.expires);
    let was_seen_in_time = (Seconds::ZERO..usual / 4.0).contains(&seen_late_by);
    was_seen_in_time && Seconds::from(end.elapsed) >= usual
}

/// Returns whether an attempt took more than three quarters of its time: the latency objective, or
/// what the client had left of it. Where late responses count as well, it may take five quarters.
fn is_near_deadline(
    request: &PendingRequest,
    attempt: &Attempt,
    end: &AttemptEnd,
    class: &RequestClass,
) -> bool {
    let time_left = request.deadline - attempt.started;
    let quarters = if class.late_weight > 0.0 { 5 } else { 3 };
    4 * end.elapsed > quarters * class.latency_objective.min(time_left)
}
