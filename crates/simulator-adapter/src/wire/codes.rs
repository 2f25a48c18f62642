//! Maps the protocol's numeric codes to the types of the balancer and back.

use crate::error::RecordError;
use ottertiller_balancer::{EndpointState, ListKind, Outcome, RequestId, Timer};

/// The code of an event, which is the first byte of its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EventCode {
    Start = 1,
    EndpointList = 2,
    Request = 3,
    StreamStarted = 4,
    AttemptEnded = 5,
    ClientDisconnected = 6,
    Timer = 7,
    HealthCheckEnded = 8,
    PeerMessage = 9,
    Stop = 10,
}

/// The code of an action, which is the first byte of its record.
///
/// The protocol has four more actions, which the balancer never takes: 67 logs a line, 72 reads the
/// endpoint list once, 73 sends a message to other nodes, and 74 closes idle connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ActionCode {
    Fail = 65,
    HealthCheck = 66,
    SetTimer = 68,
    CancelAttempt = 69,
    Subscribe = 70,
    /// Reports that the balancer of the node panicked.
    Fault = 71,
    Shed = 75,
    StartAttempt = 76,
}

impl TryFrom<u8> for EventCode {
    type Error = RecordError;

    fn try_from(code: u8) -> Result<Self, RecordError> {
        Ok(match code {
            1 => EventCode::Start,
            2 => EventCode::EndpointList,
            3 => EventCode::Request,
            4 => EventCode::StreamStarted,
            5 => EventCode::AttemptEnded,
            6 => EventCode::ClientDisconnected,
            7 => EventCode::Timer,
            8 => EventCode::HealthCheckEnded,
            9 => EventCode::PeerMessage,
            10 => EventCode::Stop,
            _ => return Err(RecordError::UnknownEventCode(code)),
        })
    }
}

/// Decodes the kind of an endpoint list.
pub(super) fn decode_list_kind(code: u8) -> Result<ListKind, RecordError> {
    match code {
        0 => Ok(ListKind::Delta),
        1 => Ok(ListKind::Snapshot),
        2 => Ok(ListKind::Cached),
        3 => Ok(ListKind::Failed),
        _ => Err(RecordError::UnknownListKind(code)),
    }
}

/// Decodes the outcome of an attempt or a health check.
pub(super) fn decode_outcome(code: u8) -> Result<Outcome, RecordError> {
    match code {
        0 => Ok(Outcome::Error),
        1 => Ok(Outcome::Served),
        2 => Ok(Outcome::Rejected),
        3 => Ok(Outcome::TimedOut),
        4 => Ok(Outcome::ConnectFailed),
        5 => Ok(Outcome::Reset),
        6 => Ok(Outcome::Cancelled),
        7 => Ok(Outcome::NotSent),
        _ => Err(RecordError::UnknownOutcome(code)),
    }
}

/// Decodes the state of an endpoint.
pub(super) fn decode_endpoint_state(code: u8) -> Result<EndpointState, RecordError> {
    match code {
        0 => Ok(EndpointState::Removed),
        1 => Ok(EndpointState::Draining),
        2 => Ok(EndpointState::Ready),
        _ => Err(RecordError::UnknownEndpointState(code)),
    }
}

/// The token of the timer for polling the endpoint list. The token of a request's timer is the
/// request id.
const ENDPOINT_POLLING_TOKEN: u64 = u64::MAX;

/// Decodes the token of an expired timer.
pub(super) fn decode_timer(token: u64) -> Timer {
    match token {
        ENDPOINT_POLLING_TOKEN => Timer::EndpointPolling,
        id => Timer::Request(RequestId(id)),
    }
}

/// Encodes a timer as the token that the simulator sends back when the timer expires.
pub(super) fn encode_timer(timer: Timer) -> u64 {
    match timer {
        Timer::Request(id) => id.0,
        Timer::EndpointPolling => ENDPOINT_POLLING_TOKEN,
    }
}
