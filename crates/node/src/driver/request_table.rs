//! The table of requests in flight, and the timers that belong to them.
//!
//! A request awaits its final response until that is sent or the client disconnects. It is finished
//! once it no longer awaits the response and all its attempts have ended. The table then removes it
//! together with its timers, whichever event came last. Callers never remove a request.

mod attempt;
mod in_flight_request;

pub(super) use in_flight_request::AttemptStart;

use super::timer_queue::{DriverTimer, TimerQueue};
use crate::message::{AttemptId, FinalResponse, StopReason, UpstreamRequest};
use attempt::EndedAttempt;
use in_flight_request::InFlightRequest;
use ottertiller_balancer::{EndpointId, RequestId};
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::time::Duration;
use tokio::sync::oneshot;

/// The number of entries in a table.
#[cfg(test)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct RequestTableUsage {
    /// Requests in flight.
    pub requests: usize,
    /// Pending timers.
    pub timers: usize,
}

/// The requests in flight, which await their final response or the end of an attempt, and all
/// pending timers.
pub(super) struct RequestTable {
    max_attempts: usize,
    requests: BTreeMap<RequestId, InFlightRequest>,
    timers: TimerQueue,
}

impl RequestTable {
    /// Creates an empty table. Each request may have up to `max_attempts` attempts.
    pub(super) fn new(max_attempts: usize) -> Self {
        RequestTable {
            max_attempts,
            requests: BTreeMap::new(),
            timers: TimerQueue::default(),
        }
    }

    /// Adds a request, which awaits its final response. No other request may have the same id.
    pub(super) fn insert(
        &mut self,
        id: RequestId,
        upstream_request: UpstreamRequest,
        response_sender: oneshot::Sender<FinalResponse>,
    ) {
        let request = InFlightRequest::new(upstream_request, response_sender);
        self.requests.insert(id, request);
    }

    /// Sends the final response to the client's request handler. No other function does. Returns
    /// whether the request still awaited it.
    pub(super) fn respond(&mut self, id: RequestId, response: FinalResponse) -> bool {
        let Some(response_sender) = self.take_response_sender(id) else {
            return false;
        };
        // An error means that the client has just disconnected, and needs no response.
        let _ = response_sender.send(response);
        true
    }

    /// Records that the client has disconnected and needs no response. Returns whether the request
    /// still awaited one.
    pub(super) fn client_disconnected(&mut self, id: RequestId) -> bool {
        self.take_response_sender(id).is_some()
    }

    /// Takes the sender of a request's final response, and removes the request if it is finished
    /// now. Returns `None` if the request no longer awaits the response.
    fn take_response_sender(&mut self, id: RequestId) -> Option<oneshot::Sender<FinalResponse>> {
        let request = self.requests.get_mut(&id)?;
        let response_sender = request.take_response_sender()?;
        self.remove_if_finished(id);
        Some(response_sender)
    }

    /// Starts the first or a further attempt of a request. It is permitted while the request awaits
    /// its final response, its deadline has not passed and it has had fewer than the maximum number
    /// of attempts; otherwise this returns [`AttemptStart::NotPermitted`]. Returns `None` if the
    /// request is not in flight.
    pub(super) fn start_attempt(
        &mut self,
        id: RequestId,
        endpoint: EndpointId,
        now: Duration,
    ) -> Option<AttemptStart> {
        let request = self.requests.get_mut(&id)?;
        Some(request.start_attempt(endpoint, now, self.max_attempts))
    }

    /// Tells the task of an attempt in flight to stop. The task still reports the attempt's outcome
    /// to the driver, which then calls [`Self::end_attempt`].
    pub(super) fn stop_attempt(&mut self, id: AttemptId, reason: StopReason) {
        if let Some(request) = self.requests.get_mut(&id.request) {
            request.stop_attempt(id.number, reason);
        }
    }

    /// Ends an attempt. Returns `None` if it is unknown or had ended before.
    pub(super) fn end_attempt(&mut self, id: AttemptId) -> Option<EndedAttempt> {
        let request = self.requests.get_mut(&id.request)?;
        let ended = request.end_attempt(id.number)?;
        self.remove_if_finished(id.request);
        Some(ended)
    }

    /// Returns the requests that await their final response.
    pub(super) fn awaiting_response(&self) -> Vec<RequestId> {
        self.requests
            .iter()
            .filter(|(_, request)| request.awaits_response())
            .map(|(id, _)| *id)
            .collect()
    }

    /// Removes the request and its timers if it is finished. No other function removes requests.
    fn remove_if_finished(&mut self, id: RequestId) {
        let Entry::Occupied(entry) = self.requests.entry(id) else {
            return;
        };
        if !entry.get().is_finished() {
            return;
        }
        for key in entry.remove().into_timers() {
            self.timers.remove(key);
        }
    }

    /// Sets a timer that fires at `due`, a time of the node's clock. If it belongs to a request in
    /// flight, it is removed with the request. Otherwise it stays until it fires.
    pub(super) fn set_timer(&mut self, due: Duration, timer: DriverTimer) {
        let key = self.timers.set(due, timer);
        if let Some(request) = self.request_of(timer) {
            request.add_timer(key);
        }
    }

    /// Returns when the next timer is due, or `None` if no timer is pending.
    pub(super) fn next_due(&self) -> Option<Duration> {
        self.timers.next_due()
    }

    /// Removes and returns the next timer that is due by `now`.
    pub(super) fn pop_due(&mut self, now: Duration) -> Option<DriverTimer> {
        let (key, timer) = self.timers.pop_due(now)?;
        if let Some(request) = self.request_of(timer) {
            request.remove_timer(key);
        }
        Some(timer)
    }

    fn request_of(&mut self, timer: DriverTimer) -> Option<&mut InFlightRequest> {
        self.requests.get_mut(&timer.request()?)
    }

    /// Returns the number of entries.
    #[cfg(test)]
    pub(super) fn usage(&self) -> RequestTableUsage {
        RequestTableUsage {
            requests: self.requests.len(),
            timers: self.timers.len(),
        }
    }
}
