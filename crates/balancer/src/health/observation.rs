//! What the end of an attempt says of the endpoint: whether it is healthy, and whether it answers
//! in time.

use crate::endpoints::HealthSignal;
use crate::requests::{Attempt, PendingRequest};
use crate::{AttemptEnd, Outcome, RequestClass};
use std::time::Duration;

/// Whether an endpoint answers in time at a load.
#[derive(Clone, Copy, PartialEq)]
pub enum Timeliness {
    InTime,
    Late,
}

/// What the end of an attempt says of the endpoint.
pub struct Observation {
    outcome: Outcome,
    /// The estimated load of the endpoint when the attempt started.
    pub load_level: usize,
    /// It took as long as a usual response, and was given up.
    given_up_late: bool,
    /// It answered with no time to spare for the client.
    tight: bool,
}

impl Observation {
    /// What an attempt's end says; `class_mean` is the mean response time of its class, in seconds.
    pub fn new(
        request: &PendingRequest,
        attempt: &Attempt,
        end: &AttemptEnd,
        class: &RequestClass,
        class_mean: f64,
        now: Duration,
    ) -> Self {
        let given_up = matches!(end.outcome, Outcome::TimedOut | Outcome::Cancelled);
        Observation {
            outcome: end.outcome,
            load_level: attempt.load_level,
            given_up_late: given_up && is_overdue(attempt, end, class_mean, now),
            tight: is_tight(request, attempt, end, class),
        }
    }

    /// What it says of the endpoint's health, if anything.
    pub fn health(&self) -> Option<HealthSignal> {
        match self.outcome {
            Outcome::Served if self.tight => Some(HealthSignal::RespondedLate),
            Outcome::Served => Some(HealthSignal::Responded),
            Outcome::ConnectFailed => Some(HealthSignal::Unreachable),
            Outcome::Error | Outcome::TimedOut | Outcome::Reset => Some(HealthSignal::Failed),
            _ if self.given_up_late => Some(HealthSignal::Failed),
            _ => None,
        }
    }

    /// Whether the endpoint answers in time at that load, if this says so.
    pub fn timeliness(&self) -> Option<Timeliness> {
        match self.outcome {
            Outcome::Served if !self.tight => Some(Timeliness::InTime),
            Outcome::Served | Outcome::Rejected => Some(Timeliness::Late),
            _ if self.given_up_late => Some(Timeliness::Late),
            _ => None,
        }
    }
}

/// Whether an attempt took as long as a usual response of its class, and was seen to end when it
/// expired. An end seen long after that says that this node paused, not that the endpoint is slow.
fn is_overdue(attempt: &Attempt, end: &AttemptEnd, class_mean: f64, now: Duration) -> bool {
    let seen_late_by = now.as_secs_f64() - attempt.expires.as_secs_f64();
    (0.0..class_mean / 4.0).contains(&seen_late_by) && end.elapsed.as_secs_f64() >= class_mean
}

/// Whether an attempt took more than three quarters of its time, or well past its objective where
/// late responses count as well.
fn is_tight(
    request: &PendingRequest,
    attempt: &Attempt,
    end: &AttemptEnd,
    class: &RequestClass,
) -> bool {
    let time_left = request.deadline - attempt.started;
    let quarters = if class.late_weight > 0.0 { 5 } else { 3 };
    4 * end.elapsed > quarters * class.latency_objective.min(time_left)
}
