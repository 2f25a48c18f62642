//! Reading an endpoint's response, and what it says about the attempt or health check that it ends.

use crate::limits::MAX_BODY_BYTES;
use crate::logging::log_rate_limited;
use crate::memory_budget::MemoryLease;
use crate::upstream::Upstream;
use crate::upstream::pool::Connection;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};
use ottertiller_balancer::{LoadReport, Outcome};
use std::error::Error;
use std::io::{self, ErrorKind};

/// Marks a response whose request was rejected before it ran.
const REJECTED: HeaderName = HeaderName::from_static("x-rejected");
/// The one value of [`REJECTED`] that counts.
const REJECTED_TRUE: &str = "1";

/// How an exchange with an endpoint ended.
pub(super) struct ExchangeResult {
    /// How the exchange ended.
    pub outcome: Outcome,
    /// The load report in the response's headers.
    pub load_report: Option<LoadReport>,
    /// The response's body, if the request was served.
    pub body: Option<Bytes>,
}

impl ExchangeResult {
    /// Returns the result of an exchange that ended without a response.
    pub(super) fn without_response(outcome: Outcome) -> Self {
        ExchangeResult {
            outcome,
            load_report: None,
            body: None,
        }
    }

    /// Returns the result of an exchange whose response was dropped unread.
    fn without_body(outcome: Outcome, load_report: Option<LoadReport>) -> Self {
        ExchangeResult {
            outcome,
            load_report,
            body: None,
        }
    }
}

/// A response that was read.
pub(super) struct ReceivedResponse {
    /// What the exchange brought.
    pub result: ExchangeResult,
    /// The connection that it came on, unless that had to be closed.
    pub connection: Option<Connection>,
}

impl ReceivedResponse {
    /// Returns a response after which the connection is closed.
    fn closing_connection(result: ExchangeResult) -> Self {
        ReceivedResponse {
            result,
            connection: None,
        }
    }
}

/// Why a response is dropped before its body is read.
#[derive(Debug, thiserror::Error)]
enum ResponseDropped {
    /// The body is longer than any that is forwarded.
    #[error("response too long")]
    TooLong,
    /// No memory is left for the body.
    #[error("memory budget exhausted")]
    MemoryBudgetExhausted,
}

impl Upstream {
    /// Reads a response to its end, so that one that breaks off is an outcome like others and the
    /// client never gets half of it.
    ///
    /// One without a length ends with its connection: whole if that is closed in order, and broken
    /// off if it is reset.
    pub(super) async fn read_response(
        &self,
        connection: Connection,
        response: Response<Incoming>,
    ) -> ReceivedResponse {
        let (head, body) = response.into_parts();
        let keeps_connection = is_delimited(&head.headers, &body);
        let load_report = self.load_reports.parse_headers(&head.headers);
        let lease = match self.lease_for_body(&body) {
            Ok(lease) => lease,
            Err(error) => {
                let address = connection.address;
                log_rate_limited(format_args!(
                    "response dropped: endpoint {address}: {error}"
                ));
                let result = ExchangeResult::without_body(Outcome::Error, load_report);
                return ReceivedResponse::closing_connection(result);
            }
        };
        let body = match Limited::new(body, MAX_BODY_BYTES).collect().await {
            Ok(body) => lease.attach_to(body.to_bytes()),
            Err(error) => {
                let result = ExchangeResult::without_response(outcome_of_body_error(&*error));
                return ReceivedResponse::closing_connection(result);
            }
        };
        let outcome = outcome_of_status(head.status, &head.headers);
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

/// Returns whether a response says where its body ends; one that does not ends with its connection.
fn is_delimited(headers: &HeaderMap, body: &Incoming) -> bool {
    body.size_hint().exact().is_some() || headers.contains_key(TRANSFER_ENCODING)
}

/// Returns how an exchange ended that brought a whole response.
fn outcome_of_status(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let rejected = headers
        .get(REJECTED)
        .is_some_and(|value| value == REJECTED_TRUE);
    match status {
        StatusCode::OK => Outcome::Served,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if rejected => {
            Outcome::Rejected
        }
        // Nothing else promises that the request never ran.
        _ => Outcome::Error,
    }
}

/// Returns how an exchange ended whose response's body broke off, or was too long.
fn outcome_of_body_error(error: &(dyn Error + 'static)) -> Outcome {
    error
        .downcast_ref()
        .map_or(Outcome::Error, outcome_of_error)
}

/// Returns how an exchange ended whose response did not arrive completely.
///
/// Where the connection ended, the process may have died. Where the bytes made no sense, something
/// responds there: that is a failure like another, and no reason to take the endpoint out of use.
pub(super) fn outcome_of_error(error: &hyper::Error) -> Outcome {
    if error.is_parse() || is_invalid_data(error) {
        Outcome::Error
    } else {
        Outcome::Reset
    }
}

/// Returns whether the I/O layer found that the bytes made no sense.
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
