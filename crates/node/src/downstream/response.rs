//! Builds the responses to clients.

use crate::message::FinalResponse;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::time::Duration;

/// A response whose body is in memory.
pub(super) type FullResponse = Response<Full<Bytes>>;

/// Returns a response without a body.
pub(super) fn without_body(status: StatusCode) -> FullResponse {
    with_body(status, Bytes::new())
}

/// Returns a response whose body is the text.
pub(super) fn with_text(status: StatusCode, text: String) -> FullResponse {
    with_body(status, Bytes::from(text))
}

/// Returns the response to a shed request: status 503, with the time after which the client may
/// retry in the Retry-After header, in seconds with three decimals.
pub(super) fn service_unavailable(retry_after: Option<Duration>) -> FullResponse {
    let mut response = without_body(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = retry_after.map(|after| format!("{:.3}", after.as_secs_f64()));
    if let Some(Ok(value)) = seconds.map(HeaderValue::try_from) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Converts a request's final response to HTTP.
pub(super) fn from_final_response(final_response: FinalResponse) -> FullResponse {
    match final_response {
        FinalResponse::Served(body) => with_body(StatusCode::OK, body),
        FinalResponse::Shed(retry_after) => service_unavailable(retry_after),
        FinalResponse::Failed => without_body(StatusCode::BAD_GATEWAY),
        FinalResponse::TimedOut => without_body(StatusCode::GATEWAY_TIMEOUT),
    }
}

/// Returns the bytes of a response without a body that is the last on its connection.
pub(super) fn last_response_bytes(response: &FullResponse) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {}\r\n", response.status()).into_bytes();
    for (name, value) in response.headers() {
        bytes.extend_from_slice(name.as_str().as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"connection: close\r\ncontent-length: 0\r\n\r\n");
    bytes
}

/// Returns a response with this status and body.
fn with_body(status: StatusCode, body: Bytes) -> FullResponse {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
