//! The responses that clients get.

use super::request_error::RequestError;
use crate::message::FinalResponse;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::time::Duration;

/// A response whose body is in memory.
pub type FullResponse = Response<Full<Bytes>>;

/// A response without a body.
pub fn empty(status: StatusCode) -> FullResponse {
    with_body(status, Bytes::new())
}

/// The response to a request that is not admitted.
pub fn rejected(error: RequestError) -> FullResponse {
    with_body(error.status(), Bytes::from(error.to_string()))
}

/// The response to a request that is shed, with the time after which the client may retry.
pub fn shed(retry_after: Option<Duration>) -> FullResponse {
    let mut response = empty(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = retry_after.map(|after| format!("{:.3}", after.as_secs_f64()));
    if let Some(Ok(value)) = seconds.map(HeaderValue::try_from) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// The response that carries a final response.
pub fn final_response(answer: FinalResponse) -> FullResponse {
    match answer {
        FinalResponse::Served(body) => with_body(StatusCode::OK, body),
        FinalResponse::Shed(retry_after) => shed(retry_after),
        FinalResponse::Failed => empty(StatusCode::BAD_GATEWAY),
        FinalResponse::TimedOut => empty(StatusCode::GATEWAY_TIMEOUT),
    }
}

fn with_body(status: StatusCode, body: Bytes) -> FullResponse {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
