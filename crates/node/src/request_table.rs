//! The table of requests in flight, and the timers that belong to them.
//!
//! The table is the only place that knows when a request is finished: as soon as it has its final answer and no
//! attempt out, it leaves together with its timers, whichever event came last. No caller has to remember that.

use crate::message::{FinalAnswer, ForwardedRequest, StopReason};
use ottertiller_balancer::{EndpointId, RequestId};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// A request and its attempts.
struct InFlight {
    forward: Rc<ForwardedRequest>,
    /// The way to the client, until the final answer has gone there or the client has left.
    reply: Option<oneshot::Sender<FinalAnswer>>,
    /// In the order of their start; an attempt's number is its place.
    attempts: Vec<Attempt>,
    /// Its pending timers. They go with it: a client may say that it waits for as long as it likes.
    timers: Vec<TimerId>,
}

struct Attempt {
    endpoint: EndpointId,
    sent: Duration,
    state: AttemptState,
}

enum AttemptState {
    /// Under way, and not told to stop yet.
    Running(oneshot::Sender<StopReason>),
    /// Told to stop; its outcome is still to come.
    Stopping,
    Ended,
}

impl InFlight {
    fn is_answered(&self) -> bool {
        self.reply.is_none()
    }

    fn is_finished(&self) -> bool {
        self.is_answered() && self.attempts.iter().all(|attempt| matches!(attempt.state, AttemptState::Ended))
    }
}

/// What the caller needs to know of an attempt that has just ended.
pub struct EndedAttempt {
    pub endpoint: EndpointId,
    pub sent: Duration,
    /// Whether the request had its final answer before this attempt ended.
    pub answered: bool,
}

/// Whether another attempt of a request may begin.
pub enum NewAttempt {
    /// It may, under this number.
    Permitted { number: u32, forward: Rc<ForwardedRequest> },
    /// It may not, and counts as an attempt that has ended unsent.
    Refused { number: u32, answered: bool },
}

/// When a timer is due, and its number: those due together fire in the order in which they were set.
type TimerId = (Duration, u64);

/// What a timer is for.
#[derive(Clone, Copy)]
pub enum Due {
    /// The decision module's own, with its token.
    Balancer(u64),
    /// The time-out of an attempt.
    Attempt(RequestId, u32),
    /// The client's deadline.
    Deadline(RequestId),
}

impl Due {
    /// The request that a timer leaves with. A token that is no request's belongs to the module itself.
    fn owner(self) -> RequestId {
        match self {
            Due::Balancer(token) => RequestId(token),
            Due::Attempt(id, _) | Due::Deadline(id) => id,
        }
    }
}

/// How much a table holds.
#[cfg(test)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    pub requests: usize,
    pub timers: usize,
}

/// The requests that are owed an answer or have an attempt out, and all pending timers.
#[derive(Default)]
pub struct RequestTable {
    requests: BTreeMap<RequestId, InFlight>,
    timers: BTreeMap<TimerId, Due>,
    timers_set: u64,
}

impl RequestTable {
    /// Takes in a request that is owed an answer.
    pub fn insert(&mut self, id: RequestId, forward: ForwardedRequest, reply: oneshot::Sender<FinalAnswer>) {
        let request = InFlight {
            forward: Rc::new(forward),
            reply: Some(reply),
            attempts: Vec::new(),
            timers: Vec::new(),
        };
        self.requests.insert(id, request);
    }

    /// Gives the final answer. The one place where it leaves; false if none was owed any more.
    pub fn answer(&mut self, id: RequestId, answer: FinalAnswer) -> bool {
        let Some(reply) = self.take_reply(id) else { return false };
        // An error means that the client has just left: then no answer is owed.
        let _ = reply.send(answer);
        true
    }

    /// The client has left, and is owed no answer. False if none was owed before.
    pub fn abandon(&mut self, id: RequestId) -> bool {
        self.take_reply(id).is_some()
    }

    fn take_reply(&mut self, id: RequestId) -> Option<oneshot::Sender<FinalAnswer>> {
        let request = self.requests.get_mut(&id)?;
        let reply = request.reply.take()?;
        request.forward.close();
        self.remove_if_finished(id);
        Some(reply)
    }

    /// Asks for another attempt, of which a request may have `most`.
    pub fn new_attempt(
        &mut self,
        id: RequestId,
        endpoint: EndpointId,
        now: Duration,
        most: usize,
    ) -> Option<NewAttempt> {
        let request = self.requests.get_mut(&id)?;
        let number = request.attempts.len() as u32;
        let answered = request.is_answered();
        if answered || now >= request.forward.deadline || request.attempts.len() >= most {
            request.attempts.push(Attempt { endpoint, sent: now, state: AttemptState::Ended });
            return Some(NewAttempt::Refused { number, answered });
        }
        Some(NewAttempt::Permitted { number, forward: request.forward.clone() })
    }

    /// A permitted attempt begins; `stop` is the way to stop it.
    pub fn attempt_started(
        &mut self,
        id: RequestId,
        endpoint: EndpointId,
        now: Duration,
        stop: oneshot::Sender<StopReason>,
    ) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts.push(Attempt { endpoint, sent: now, state: AttemptState::Running(stop) });
        }
    }

    /// An attempt has ended; `None` if it is not known or had ended before.
    pub fn attempt_ended(&mut self, id: RequestId, number: u32) -> Option<EndedAttempt> {
        let request = self.requests.get_mut(&id)?;
        let answered = request.is_answered();
        let attempt = request.attempts.get_mut(number as usize)?;
        if matches!(attempt.state, AttemptState::Ended) {
            return None;
        }
        attempt.state = AttemptState::Ended;
        let ended = EndedAttempt { endpoint: attempt.endpoint, sent: attempt.sent, answered };
        self.remove_if_finished(id);
        Some(ended)
    }

    /// Stops an attempt that is under way. Its outcome is still to come.
    pub fn stop_attempt(&mut self, id: RequestId, number: u32, why: StopReason) {
        let request = self.requests.get_mut(&id);
        let Some(attempt) = request.and_then(|request| request.attempts.get_mut(number as usize)) else {
            return;
        };
        match std::mem::replace(&mut attempt.state, AttemptState::Stopping) {
            // It may have ended just now; then that outcome is on its way.
            AttemptState::Running(stop) => drop(stop.send(why)),
            other => attempt.state = other,
        }
    }

    /// The requests that are still owed an answer.
    pub fn unanswered(&self) -> Vec<RequestId> {
        let owed = self.requests.iter().filter(|(_, request)| !request.is_answered());
        owed.map(|(id, _)| *id).collect()
    }

    /// The one place where a request leaves the table, and its timers with it.
    fn remove_if_finished(&mut self, id: RequestId) {
        if !self.requests.get(&id).is_some_and(InFlight::is_finished) {
            return;
        }
        let Some(request) = self.requests.remove(&id) else { return };
        for timer in request.timers {
            self.timers.remove(&timer);
        }
    }

    /// Sets a timer. One that belongs to a request in flight leaves with it.
    pub fn set_timer(&mut self, at: Duration, due: Due) {
        self.timers_set += 1;
        let timer = (at, self.timers_set);
        if let Some(request) = self.requests.get_mut(&due.owner()) {
            request.timers.push(timer);
        }
        self.timers.insert(timer, due);
    }

    /// When the next timer is due.
    pub fn next_due(&self) -> Option<Duration> {
        self.timers.first_key_value().map(|((at, _), _)| *at)
    }

    /// The next timer that is due by `now`.
    pub fn pop_due(&mut self, now: Duration) -> Option<Due> {
        let timer = self.timers.first_entry().filter(|timer| timer.key().0 <= now)?;
        let (fired, due) = timer.remove_entry();
        if let Some(request) = self.requests.get_mut(&due.owner()) {
            request.timers.retain(|timer| *timer != fired);
        }
        Some(due)
    }

    /// How much it holds.
    #[cfg(test)]
    pub fn usage(&self) -> Usage {
        Usage { requests: self.requests.len(), timers: self.timers.len() }
    }
}
