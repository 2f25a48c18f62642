//! The state of one attempt, from its start to its end.

use crate::message::StopReason;
use ottertiller_balancer::EndpointId;
use std::time::Duration;
use tokio::sync::oneshot;

/// An attempt of a request in flight.
pub(super) struct TrackedAttempt {
    endpoint: EndpointId,
    started_at: Duration,
    state: AttemptState,
}

/// An attempt's state. An attempt moves only from an earlier state to a later one.
enum AttemptState {
    /// In flight. The sender tells it to stop.
    Running(oneshot::Sender<StopReason>),
    /// Told to stop; its outcome has not been reported.
    Stopping,
    /// Its outcome has been reported, or it was never started.
    Ended,
}

/// An attempt that has just ended.
pub(crate) struct EndedAttempt {
    /// The endpoint to which it was sent.
    pub endpoint: EndpointId,
    /// When it started, as a time of the node's clock.
    pub started_at: Duration,
    /// Whether the request awaited its final response when this attempt ended.
    pub awaited_response: bool,
}

impl TrackedAttempt {
    /// Creates an attempt in flight. The receiver is notified when the attempt is to stop.
    pub(super) fn running(
        endpoint: EndpointId,
        started_at: Duration,
    ) -> (Self, oneshot::Receiver<StopReason>) {
        let (stop_sender, stop_signal) = oneshot::channel();
        let attempt = TrackedAttempt {
            endpoint,
            started_at,
            state: AttemptState::Running(stop_sender),
        };
        (attempt, stop_signal)
    }

    /// Creates an attempt that is never started, and so has ended already.
    pub(super) fn not_started(endpoint: EndpointId, now: Duration) -> Self {
        TrackedAttempt {
            endpoint,
            started_at: now,
            state: AttemptState::Ended,
        }
    }

    /// Returns whether the attempt has ended.
    pub(super) fn has_ended(&self) -> bool {
        matches!(self.state, AttemptState::Ended)
    }

    /// Tells an attempt in flight to stop. Does nothing if it is stopping or has ended.
    pub(super) fn stop(&mut self, reason: StopReason) {
        match std::mem::replace(&mut self.state, AttemptState::Stopping) {
            AttemptState::Running(stop_sender) => {
                // An error means that the attempt has just ended; its outcome is about to be
                // reported.
                let _ = stop_sender.send(reason);
            }
            unchanged => self.state = unchanged,
        }
    }

    /// Ends the attempt. Returns `None` if it had ended before. `awaits_response` says whether its
    /// request awaits its final response.
    pub(super) fn end(&mut self, awaits_response: bool) -> Option<EndedAttempt> {
        if self.has_ended() {
            return None;
        }
        self.state = AttemptState::Ended;
        Some(EndedAttempt {
            endpoint: self.endpoint,
            started_at: self.started_at,
            awaited_response: awaits_response,
        })
    }
}

#[cfg(test)]
mod tests;
