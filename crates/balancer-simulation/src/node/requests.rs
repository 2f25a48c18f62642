//! The requests that were sent to the node, and their attempts.

use super::NodeSimulation;
use crate::fixtures::{DEADLINE, in_flight_report};
use ottertiller_balancer::{Action, AttemptEnd, EndpointId, Event, NewRequest, Outcome, RequestId};
use std::time::Duration;

/// The panic message for the id of an unknown request.
const NEVER_SENT: &str = "the request was never sent to the node";

/// Identifies an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The id of the request.
    pub request: RequestId,
    /// The number of the attempt, in the order of sending, from 0.
    pub number: usize,
}

impl AttemptId {
    /// Returns the id of an attempt of a request.
    pub fn new(request: RequestId, number: usize) -> Self {
        AttemptId { request, number }
    }

    /// Returns the id of the first attempt of a request.
    pub fn first(request: RequestId) -> Self {
        AttemptId::new(request, 0)
    }
}

/// The properties of a request that a test may set.
#[derive(Clone, Copy, Debug)]
pub struct RequestOptions {
    /// The index of the class.
    pub class: usize,
    /// The index of the tenant.
    pub tenant: usize,
    /// The time from now to the deadline.
    pub remaining: Duration,
    /// The CPU time that the client expects the request to take.
    pub cost_hint: Option<Duration>,
}

impl Default for RequestOptions {
    /// Returns class 0, tenant 0 and the full deadline of the fixtures' classes.
    fn default() -> Self {
        RequestOptions {
            class: 0,
            tenant: 0,
            remaining: DEADLINE,
            cost_hint: None,
        }
    }
}

pub(super) struct Attempt {
    pub(super) endpoint: EndpointId,
    pub(super) started: Duration,
    times_out_at: Duration,
    /// The outcome; `None` while the attempt is in flight.
    pub(super) outcome: Option<Outcome>,
}

pub(super) struct RequestState {
    pub(super) class: usize,
    pub(super) deadline: Duration,
    /// Whether it has had its final response, or needs none because its client has disconnected.
    pub(super) finished: bool,
    pub(super) attempts: Vec<Attempt>,
}

impl NodeSimulation {
    /// Sends a request of a class, with the full deadline of the fixtures' classes. Returns its id
    /// and the actions that follow.
    pub fn request(&mut self, class: usize) -> (RequestId, Vec<Action>) {
        self.request_with(RequestOptions {
            class,
            ..RequestOptions::default()
        })
    }

    /// Sends a request, and returns its id and the actions that follow.
    pub fn request_with(&mut self, options: RequestOptions) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next_request_id);
        self.next_request_id += 1;
        let request = NewRequest {
            id,
            class: options.class,
            tenant: options.tenant,
            key: 0,
            remaining: options.remaining,
            cost_hint: options.cost_hint,
            client_retry: false,
        };
        (id, self.submit(request))
    }

    /// Sends a request with the id that the caller has set, and returns the actions that follow.
    pub fn submit(&mut self, request: NewRequest) -> Vec<Action> {
        let state = RequestState {
            class: request.class,
            deadline: self.now + request.remaining,
            finished: false,
            attempts: Vec::new(),
        };
        self.requests.insert(request.id, state);
        self.deliver(Event::Request(request))
    }

    /// Disconnects the client of a request.
    ///
    /// # Panics
    ///
    /// Panics if the request was never sent to the node.
    pub fn disconnect_client(&mut self, id: RequestId) {
        let request = self.requests.get_mut(&id).expect(NEVER_SENT);
        request.finished = true;
        self.deliver(Event::ClientDisconnected { id });
    }

    /// Ends an attempt in flight, and returns the actions that follow. `in_flight` is the number of
    /// requests in flight that the endpoint reports with the response, if any.
    ///
    /// # Panics
    ///
    /// Panics if the node never started the attempt, or if the attempt has already ended.
    pub fn end_attempt(
        &mut self,
        AttemptId {
            request: id,
            number,
        }: AttemptId,
        outcome: Outcome,
        in_flight: Option<f32>,
    ) -> Vec<Action> {
        let request = self.requests.get_mut(&id).expect(NEVER_SENT);
        let attempt = &mut request.attempts[number];
        assert!(
            attempt.outcome.is_none(),
            "the test ends attempt {number} of {id:?} twice"
        );
        attempt.outcome = Some(outcome);
        request.finished |= outcome == Outcome::Served;
        let end = AttemptEnd {
            id,
            attempt: number as u32,
            endpoint: attempt.endpoint,
            outcome,
            elapsed: self.now - attempt.started,
            request_finished: request.finished,
            report: in_flight.map(in_flight_report),
        };
        self.deliver(Event::AttemptEnded(end))
    }

    /// Ends all attempts that are in flight now. Attempts that start meanwhile stay in flight.
    pub fn end_all_attempts(&mut self, outcome: Outcome, in_flight: Option<f32>) {
        for attempt in self.attempts_in_flight() {
            self.end_attempt(attempt, outcome, in_flight);
        }
    }

    /// Returns the attempts in flight, in the order of their requests.
    pub fn attempts_in_flight(&self) -> Vec<AttemptId> {
        let mut in_flight = Vec::new();
        for (id, request) in &self.requests {
            for (number, attempt) in request.attempts.iter().enumerate() {
                if attempt.outcome.is_none() {
                    in_flight.push(AttemptId::new(*id, number));
                }
            }
        }
        in_flight
    }

    /// Returns the time since the first attempt of a request started.
    pub fn since_first_attempt(&self, id: RequestId) -> Duration {
        self.now - self.requests[&id].attempts[0].started
    }

    /// Returns whether a request has had its final response, or needs none because its client has
    /// disconnected.
    pub fn is_finished(&self, id: RequestId) -> bool {
        self.requests[&id].finished
    }

    /// Returns the requests that still need a final response.
    pub fn unfinished_requests(&self) -> Vec<RequestId> {
        let unfinished =
            |(id, request): (&RequestId, &RequestState)| (!request.finished).then_some(*id);
        self.requests.iter().filter_map(unfinished).collect()
    }

    /// Returns the endpoint of an attempt.
    pub fn endpoint_of(&self, attempt: AttemptId) -> EndpointId {
        self.requests[&attempt.request].attempts[attempt.number].endpoint
    }

    pub(super) fn start_attempt(&mut self, id: RequestId, endpoint: EndpointId, timeout: Duration) {
        let request = self.requests.get_mut(&id).expect(NEVER_SENT);
        let times_out_at = (self.now + timeout).min(request.deadline);
        request.attempts.push(Attempt {
            endpoint,
            started: self.now,
            times_out_at,
            outcome: None,
        });
    }

    /// Makes an attempt time out at the next tick.
    pub(super) fn cancel_attempt(&mut self, attempt: AttemptId) {
        let request = self.requests.get_mut(&attempt.request).expect(NEVER_SENT);
        request.attempts[attempt.number].times_out_at = self.now;
    }

    pub(super) fn time_out_attempts(&mut self) {
        for attempt in self.attempts_in_flight() {
            let state = &self.requests[&attempt.request].attempts[attempt.number];
            if state.outcome.is_none() && state.times_out_at <= self.now {
                self.end_attempt(attempt, Outcome::TimedOut, None);
            }
        }
    }

    pub(super) fn finish_request(&mut self, id: RequestId) {
        let request = self
            .requests
            .get_mut(&id)
            .expect("invariant 1: the node responds to a request that it never received");
        assert!(
            !request.finished,
            "invariant 1: {id:?} gets a second final response"
        );
        request.finished = true;
    }
}
