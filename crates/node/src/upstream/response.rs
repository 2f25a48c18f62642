//! Reading an endpoint's response, and deriving from it the outcome of the attempt or health check.

use crate::limits::{MAX_BODY_BYTES, MAX_HEADERS};
use crate::logging::log_rate_limited;
use crate::memory_budget::MemoryLease;
use crate::upstream::Upstream;
use crate::upstream::pool::{Connection, Trailing};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderName, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};
use ottertiller_balancer::{LoadReport, Outcome};
use std::error::Error;
use std::io::{self, ErrorKind};

/// The header by which an endpoint marks that it rejected the request without running it.
const REJECTED: HeaderName = HeaderName::from_static("x-rejected");
/// The value of [`REJECTED`] that marks a rejection; any other value has no effect.
const REJECTED_TRUE: &str = "1";

/// How an exchange with an endpoint ended.
pub(super) struct ExchangeResult {
    /// The outcome of the attempt or health check.
    pub outcome: Outcome,
    /// The load report in the response's headers.
    pub load_report: Option<LoadReport>,
    /// The response's body, if the request was served.
    pub body: Option<Bytes>,
}

impl ExchangeResult {
    /// Returns the result of an exchange that ended without a complete response.
    pub(super) fn without_response(outcome: Outcome) -> Self {
        ExchangeResult {
            outcome,
            load_report: None,
            body: None,
        }
    }

    /// Returns the result of an exchange whose response was dropped before its body was read.
    fn without_body(outcome: Outcome, load_report: Option<LoadReport>) -> Self {
        ExchangeResult {
            outcome,
            load_report,
            body: None,
        }
    }
}

/// A response that was read or dropped.
pub(super) struct ReceivedResponse {
    /// The result of the exchange.
    pub result: ExchangeResult,
    /// The connection that carried it; `None` if the connection must be closed.
    pub connection: Option<Connection>,
}

impl ReceivedResponse {
    /// Returns a response whose connection is closed.
    fn closing_connection(result: ExchangeResult) -> Self {
        ReceivedResponse {
            result,
            connection: None,
        }
    }
}

/// Why a response is dropped.
#[derive(Debug, thiserror::Error)]
enum ResponseDropped {
    /// The body is longer than [`MAX_BODY_BYTES`].
    #[error("response body longer than {MAX_BODY_BYTES} bytes")]
    TooLong,
    /// The memory budget has no room for the body.
    #[error("memory budget exhausted")]
    MemoryBudgetExhausted,
    /// Bytes follow the body, which may belong to it.
    #[error("response body longer than its stated length, or followed by stray bytes")]
    LongerThanStated,
}

impl Upstream {
    /// Reads a response to its end. A response that breaks off therefore is an ordinary failure of
    /// the attempt, and the client never gets a part of it.
    ///
    /// A response without a length ends with its connection: it is complete if the endpoint closes
    /// the connection in an orderly way, and broken off if the connection is reset.
    pub(super) async fn read_response(
        &self,
        connection: Connection,
        response: Response<Incoming>,
    ) -> ReceivedResponse {
        let (head, body) = response.into_parts();
        let keeps_connection = is_delimited(&head.headers, &body);
        let load_report = self.load_reports.parse_headers(&head.headers);
        let states_length = states_length(&head.headers, &body);
        let lease = match self.lease_for_body(&body) {
            Ok(lease) => lease,
            Err(reason) => return drop_response(&connection, &reason, load_report),
        };
        let body = match Limited::new(body, MAX_BODY_BYTES).collect().await {
            Ok(body) => lease.attach_to(body.to_bytes()),
            Err(error) => {
                let result = ExchangeResult::without_response(outcome_of_body_error(&*error));
                return ReceivedResponse::closing_connection(result);
            }
        };
        let outcome = outcome_of_status(head.status, &head.headers);
        if states_length
            && outcome == Outcome::Served
            && may_continue_body(&connection.trailing(), &body)
        {
            return drop_response(&connection, &ResponseDropped::LongerThanStated, load_report);
        }
        let result = ExchangeResult {
            outcome,
            load_report,
            body: (outcome == Outcome::Served).then_some(body),
        };
        ReceivedResponse {
            result,
            connection: keeps_connection.then_some(connection),
        }
    }

    /// Leases memory for a response's body.
    fn lease_for_body(&self, body: &Incoming) -> Result<MemoryLease, ResponseDropped> {
        let max_length = match body.size_hint().exact() {
            Some(length) => usize::try_from(length).unwrap_or(usize::MAX),
            None => MAX_BODY_BYTES,
        };
        if max_length > MAX_BODY_BYTES {
            return Err(ResponseDropped::TooLong);
        }
        self.budget
            .lease(max_length)
            .ok_or(ResponseDropped::MemoryBudgetExhausted)
    }
}

/// Drops a response whose request has run.
fn drop_response(
    connection: &Connection,
    reason: &ResponseDropped,
    load_report: Option<LoadReport>,
) -> ReceivedResponse {
    let address = connection.address;
    log_rate_limited(format_args!(
        "response dropped: endpoint {address}: {reason}"
    ));
    let result = ExchangeResult::without_body(Outcome::Error, load_report);
    ReceivedResponse::closing_connection(result)
}

/// Returns whether the end of the body is known from the Content-Length alone.
fn states_length(headers: &HeaderMap, body: &Incoming) -> bool {
    body.size_hint().exact().is_some() && !headers.contains_key(TRANSFER_ENCODING)
}

/// Returns whether the bytes behind a served response may be the end of its body, because its
/// Content-Length is too low. Stray bytes cannot be told from that, but a duplicate of the response
/// can.
fn may_continue_body(trailing: &Trailing, body: &[u8]) -> bool {
    match trailing {
        Trailing::Nothing => false,
        Trailing::Read(bytes) => !is_duplicate(bytes, body),
        Trailing::Unread => true,
    }
}

/// Returns whether the bytes begin with a complete head of a response with status 200 and with the
/// length of `body`, followed by `body`, as far as they have been read.
fn is_duplicate(bytes: &[u8], body: &[u8]) -> bool {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let Ok(httparse::Status::Complete(head_length)) = head.parse(bytes) else {
        return false;
    };
    let length = body.len().to_string();
    let has_length = head.headers.iter().any(|header| {
        header.name.eq_ignore_ascii_case(CONTENT_LENGTH.as_str())
            && header.value == length.as_bytes()
    });
    let duplicate_body = &bytes[head_length..];
    head.code == Some(StatusCode::OK.as_u16())
        && has_length
        && (body.starts_with(duplicate_body) || duplicate_body.starts_with(body))
}

/// Returns whether the response's headers tell where its body ends. Otherwise it ends when the
/// connection closes.
fn is_delimited(headers: &HeaderMap, body: &Incoming) -> bool {
    body.size_hint().exact().is_some() || headers.contains_key(TRANSFER_ENCODING)
}

/// Returns the outcome of an exchange whose response arrived completely.
fn outcome_of_status(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let rejected = headers
        .get(REJECTED)
        .is_some_and(|value| value == REJECTED_TRUE);
    match status {
        StatusCode::OK => Outcome::Served,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if rejected => {
            Outcome::Rejected
        }
        // With any other response, the request may have run.
        _ => Outcome::Error,
    }
}

/// Returns the outcome of an exchange whose response body broke off or was too long.
fn outcome_of_body_error(error: &(dyn Error + 'static)) -> Outcome {
    error
        .downcast_ref()
        .map_or(Outcome::Error, outcome_of_error)
}

/// Returns the outcome of an exchange whose response did not arrive completely.
///
/// If the connection ended, the endpoint's process may have died: [`Outcome::Reset`]. If the bytes
/// are not a valid response, the endpoint is alive: that is an ordinary failure,
/// [`Outcome::Error`], and no reason to take the endpoint out of use.
pub(super) fn outcome_of_error(error: &hyper::Error) -> Outcome {
    if error.is_parse() || is_invalid_data(error) {
        Outcome::Error
    } else {
        Outcome::Reset
    }
}

/// Returns whether the cause of the error is an I/O error that reports invalid data.
fn is_invalid_data(error: &hyper::Error) -> bool {
    let cause = error
        .source()
        .and_then(|cause| cause.downcast_ref::<io::Error>());
    cause.is_some_and(|cause| {
        matches!(
            cause.kind(),
            ErrorKind::InvalidInput | ErrorKind::InvalidData
        )
    })
}

#[cfg(test)]
mod tests;
