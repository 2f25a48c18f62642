//! The table of requests in flight, and the timers that belong to them.
//!
//! The table is the only place that knows when a request is finished: as soon as it has its final
//! answer and all its attempts have ended, it leaves together with its timers, whichever event came
//! last. No caller has to remember that.

use crate::message::{AttemptId, FinalResponse, StopReason, UpstreamRequest};
use ottertiller_balancer::{EndpointId, RequestId};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// A request and its attempts.
struct InFlightRequest {
    upstream_request: Rc<UpstreamRequest>,
    /// Where the final response goes; `None` once it has been sent or the client has disconnected.
    reply: Option<oneshot::Sender<FinalResponse>>,
    /// In the order of their start: an attempt's number is its position.
    attempts: Vec<AttemptEntry>,
    /// Its pending timers, which leave with it: a deadline may be minutes away.
    timers: Vec<TimerKey>,
}

impl InFlightRequest {
    fn is_answered(&self) -> bool {
        self.reply.is_none()
    }

    fn is_finished(&self) -> bool {
        self.is_answered() && self.attempts.iter().all(AttemptEntry::has_ended)
    }
}

struct AttemptEntry {
    endpoint: EndpointId,
    started: Duration,
    state: AttemptState,
}

impl AttemptEntry {
    fn has_ended(&self) -> bool {
        matches!(self.state, AttemptState::Ended)
    }
}

enum AttemptState {
    /// In flight; the sender stops it.
    Running(oneshot::Sender<StopReason>),
    /// Asked to stop; its outcome is still to come.
    Stopping,
    /// Its outcome has come, or it never started.
    Ended,
}

/// What is known of an attempt that has just ended.
pub struct EndedAttempt {
    /// Where it was sent.
    pub endpoint: EndpointId,
    /// When it started.
    pub started: Duration,
    /// Whether the request had its final response before this attempt ended.
    pub was_answered: bool,
}

/// Whether another attempt of a request has started.
pub enum NewAttempt {
    /// It has, and is to be made.
    Started {
        /// The number it has.
        number: u32,
        /// What it sends.
        upstream_request: Rc<UpstreamRequest>,
        /// Receives the reason if it is to stop.
        stopped: oneshot::Receiver<StopReason>,
    },
    /// It may not, and counts as an attempt that has ended unsent.
    Refused {
        /// The number it has.
        number: u32,
        /// Whether the request has its final response.
        is_answered: bool,
    },
}

/// The order in which timers fire: those due together fire in the order in which they were set.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    due: Duration,
    sequence: u64,
}

/// What a timer is for.
#[derive(Clone, Copy)]
pub enum Timer {
    /// The balancer's own.
    Balancer(ottertiller_balancer::Timer),
    /// The timeout of an attempt.
    AttemptTimeout(AttemptId),
    /// The deadline of a request.
    Deadline(RequestId),
}

impl Timer {
    /// The request with which the timer leaves; `None` for one that stays until it fires.
    fn owner(self) -> Option<RequestId> {
        use ottertiller_balancer::Timer as BalancerTimer;
        match self {
            Timer::Balancer(BalancerTimer::EndpointPolling) => None,
            Timer::Balancer(BalancerTimer::Request(id)) | Timer::Deadline(id) => Some(id),
            Timer::AttemptTimeout(id) => Some(id.request),
        }
    }
}

/// The number of entries in a table.
#[cfg(test)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Requests in flight.
    pub requests: usize,
    /// Pending timers.
    pub timers: usize,
}

/// The requests in flight, which have no final response or an attempt that has not ended, and all
/// pending timers.
#[derive(Default)]
pub struct RequestTable {
    requests: BTreeMap<RequestId, InFlightRequest>,
    timers: BTreeMap<TimerKey, Timer>,
    last_timer_sequence: u64,
}

impl RequestTable {
    /// Adds a request, which is owed a final response.
    pub fn insert(
        &mut self,
        id: RequestId,
        upstream_request: UpstreamRequest,
        reply: oneshot::Sender<FinalResponse>,
    ) {
        let request = InFlightRequest {
            upstream_request: Rc::new(upstream_request),
            reply: Some(reply),
            attempts: Vec::new(),
            timers: Vec::new(),
        };
        self.requests.insert(id, request);
    }

    /// Sends the final response: nothing else does. Returns false if none is owed any more.
    pub fn answer(&mut self, id: RequestId, answer: FinalResponse) -> bool {
        let Some(reply) = self.take_reply(id) else {
            return false;
        };
        // An error means that the client has just disconnected: then no answer is owed.
        let _ = reply.send(answer);
        true
    }

    /// The client has disconnected, and is owed no answer. Returns false if none was owed before.
    pub fn abandon(&mut self, id: RequestId) -> bool {
        self.take_reply(id).is_some()
    }

    fn take_reply(&mut self, id: RequestId) -> Option<oneshot::Sender<FinalResponse>> {
        let request = self.requests.get_mut(&id)?;
        let reply = request.reply.take()?;
        request.upstream_request.discard_body();
        self.remove_if_finished(id);
        Some(reply)
    }

    /// Starts another attempt of a request that may have up to `max_attempts`; `None` if it is not
    /// in flight.
    pub fn start_attempt(
        &mut self,
        id: RequestId,
        endpoint: EndpointId,
        now: Duration,
        max_attempts: usize,
    ) -> Option<NewAttempt> {
        let request = self.requests.get_mut(&id)?;
        let number = request.attempts.len() as u32;
        let is_answered = request.is_answered();
        let is_overdue = now >= request.upstream_request.deadline;
        if is_answered || is_overdue || request.attempts.len() >= max_attempts {
            request.attempts.push(AttemptEntry {
                endpoint,
                started: now,
                state: AttemptState::Ended,
            });
            return Some(NewAttempt::Refused {
                number,
                is_answered,
            });
        }
        let (stop, stopped) = oneshot::channel();
        request.attempts.push(AttemptEntry {
            endpoint,
            started: now,
            state: AttemptState::Running(stop),
        });
        Some(NewAttempt::Started {
            number,
            upstream_request: request.upstream_request.clone(),
            stopped,
        })
    }

    /// An attempt has ended; `None` if it is not known or had ended before.
    pub fn attempt_ended(&mut self, id: AttemptId) -> Option<EndedAttempt> {
        let request = self.requests.get_mut(&id.request)?;
        let was_answered = request.is_answered();
        let attempt = request.attempts.get_mut(id.number as usize)?;
        if attempt.has_ended() {
            return None;
        }
        attempt.state = AttemptState::Ended;
        let ended = EndedAttempt {
            endpoint: attempt.endpoint,
            started: attempt.started,
            was_answered,
        };
        self.remove_if_finished(id.request);
        Some(ended)
    }

    /// Stops an attempt that is in flight. Its outcome is still to come.
    pub fn stop_attempt(&mut self, id: AttemptId, reason: StopReason) {
        let Some(request) = self.requests.get_mut(&id.request) else {
            return;
        };
        let Some(attempt) = request.attempts.get_mut(id.number as usize) else {
            return;
        };
        match std::mem::replace(&mut attempt.state, AttemptState::Stopping) {
            AttemptState::Running(stop) => {
                // An error means that it has just ended: then that outcome is on its way.
                let _ = stop.send(reason);
            }
            unchanged => attempt.state = unchanged,
        }
    }

    /// The requests that are still owed a final response.
    pub fn unanswered(&self) -> Vec<RequestId> {
        let unanswered = self
            .requests
            .iter()
            .filter(|(_, request)| !request.is_answered());
        unanswered.map(|(id, _)| *id).collect()
    }

    /// The one place where a request leaves the table, and its timers with it.
    fn remove_if_finished(&mut self, id: RequestId) {
        if !self
            .requests
            .get(&id)
            .is_some_and(InFlightRequest::is_finished)
        {
            return;
        }
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        for key in request.timers {
            self.timers.remove(&key);
        }
    }

    /// Sets a timer. One that belongs to a request in flight leaves with it.
    pub fn set_timer(&mut self, due: Duration, timer: Timer) {
        self.last_timer_sequence += 1;
        let key = TimerKey {
            due,
            sequence: self.last_timer_sequence,
        };
        if let Some(request) = self.owner_of(timer) {
            request.timers.push(key);
        }
        self.timers.insert(key, timer);
    }

    fn owner_of(&mut self, timer: Timer) -> Option<&mut InFlightRequest> {
        self.requests.get_mut(&timer.owner()?)
    }

    /// When the next timer is due.
    pub fn next_due(&self) -> Option<Duration> {
        self.timers.first_key_value().map(|(key, _)| key.due)
    }

    /// Removes the next timer that is due by `now`.
    pub fn pop_due(&mut self, now: Duration) -> Option<Timer> {
        let entry = self
            .timers
            .first_entry()
            .filter(|entry| entry.key().due <= now)?;
        let (fired, timer) = entry.remove_entry();
        if let Some(request) = self.owner_of(timer) {
            request.timers.retain(|key| *key != fired);
        }
        Some(timer)
    }

    /// The number of entries.
    #[cfg(test)]
    pub fn usage(&self) -> Usage {
        Usage {
            requests: self.requests.len(),
            timers: self.timers.len(),
        }
    }
}
