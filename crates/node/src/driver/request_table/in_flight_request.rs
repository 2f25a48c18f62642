//! One request in flight, with its attempts and the keys of its timers.

use super::attempt::{EndedAttempt, TrackedAttempt};
use crate::driver::timer_queue::TimerKey;
use crate::message::{FinalResponse, StopReason, UpstreamRequest};
use ottertiller_balancer::EndpointId;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// A request in flight.
pub(super) struct InFlightRequest {
    upstream_request: Rc<UpstreamRequest>,
    /// Sends the final response; `None` once it has been sent or the client has disconnected.
    response_sender: Option<oneshot::Sender<FinalResponse>>,
    /// The attempts in the order of their start. An attempt's number is its position.
    attempts: Vec<TrackedAttempt>,
    /// The request's pending timers. They are removed with the request, since its deadline may be
    /// minutes away.
    timers: Vec<TimerKey>,
}

/// The result of starting an attempt of a request.
pub(crate) enum AttemptStart {
    /// The attempt is permitted and in flight; the caller has to send it.
    Started {
        /// The number of the attempt.
        number: u32,
        /// The request to send.
        upstream_request: Rc<UpstreamRequest>,
        /// Receives the reason if the attempt is to stop.
        stop_signal: oneshot::Receiver<StopReason>,
    },
    /// The attempt is not permitted. It counts as one that ended without being sent.
    NotPermitted {
        /// The number of the attempt.
        number: u32,
        /// Whether the request awaits its final response.
        awaits_response: bool,
    },
}

impl InFlightRequest {
    /// Creates a request without attempts that awaits its final response.
    pub(super) fn new(
        upstream_request: UpstreamRequest,
        response_sender: oneshot::Sender<FinalResponse>,
    ) -> Self {
        InFlightRequest {
            upstream_request: Rc::new(upstream_request),
            response_sender: Some(response_sender),
            attempts: Vec::new(),
            timers: Vec::new(),
        }
    }

    /// Returns whether the request awaits its final response: it has not been sent, and the client
    /// has not disconnected.
    pub(super) fn awaits_response(&self) -> bool {
        self.response_sender.is_some()
    }

    /// Returns whether the request no longer awaits its final response and all its attempts have
    /// ended.
    pub(super) fn is_finished(&self) -> bool {
        !self.awaits_response() && self.attempts.iter().all(TrackedAttempt::has_ended)
    }

    /// Takes the sender of the final response, and discards the request's body, so that no attempt
    /// sends the request any more. Returns `None` if the sender was taken before.
    pub(super) fn take_response_sender(&mut self) -> Option<oneshot::Sender<FinalResponse>> {
        let response_sender = self.response_sender.take()?;
        self.upstream_request.discard_body();
        Some(response_sender)
    }

    /// Starts an attempt, unless the request no longer awaits its final response, its deadline has
    /// passed or it has had `max_attempts`.
    pub(super) fn start_attempt(
        &mut self,
        endpoint: EndpointId,
        now: Duration,
        max_attempts: usize,
    ) -> AttemptStart {
        let number = self.attempts.len() as u32;
        let awaits_response = self.awaits_response();
        let is_overdue = now >= self.upstream_request.deadline;
        if !awaits_response || is_overdue || self.attempts.len() >= max_attempts {
            let attempt = TrackedAttempt::not_started(endpoint, now);
            self.attempts.push(attempt);
            return AttemptStart::NotPermitted {
                number,
                awaits_response,
            };
        }
        let (attempt, stop_signal) = TrackedAttempt::running(endpoint, now);
        self.attempts.push(attempt);
        AttemptStart::Started {
            number,
            upstream_request: self.upstream_request.clone(),
            stop_signal,
        }
    }

    /// Tells the attempt of this number to stop, if it is in flight.
    pub(super) fn stop_attempt(&mut self, number: u32, reason: StopReason) {
        if let Some(attempt) = self.attempts.get_mut(number as usize) {
            attempt.stop(reason);
        }
    }

    /// Ends the attempt of this number. Returns `None` if there is none or it had ended before.
    pub(super) fn end_attempt(&mut self, number: u32) -> Option<EndedAttempt> {
        let awaits_response = self.awaits_response();
        let attempt = self.attempts.get_mut(number as usize)?;
        attempt.end(awaits_response)
    }

    /// Adds a pending timer.
    pub(super) fn add_timer(&mut self, key: TimerKey) {
        self.timers.push(key);
    }

    /// Removes a timer that has fired.
    pub(super) fn remove_timer(&mut self, fired: TimerKey) {
        self.timers.retain(|key| *key != fired);
    }

    /// Consumes the request, and returns its pending timers.
    pub(super) fn into_timers(self) -> Vec<TimerKey> {
        self.timers
    }
}
