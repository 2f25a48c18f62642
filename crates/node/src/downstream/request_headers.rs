//! Reads the headers of clients' requests, and checks them against the protocol's limits.

use super::request_error::RequestError;
use crate::header_names::{BUDGET_MS, CALL_ID, IDEMPOTENCY_KEY};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use std::time::Duration;

/// The name of the tenant.
const CALLER: HeaderName = HeaderName::from_static("x-caller");
/// The expected work, in microseconds.
const CALL_COST: HeaderName = HeaderName::from_static("x-call-cost");
/// Whether the client is retrying an earlier request: 1 if so.
const CLIENT_RETRY: HeaderName = HeaderName::from_static("x-again");

/// The headers that must not be repeated. If one was, an endpoint might use another of its values
/// than this node does.
const UNIQUE_HEADERS: [HeaderName; 4] = [CALL_ID, BUDGET_MS, IDEMPOTENCY_KEY, CALLER];
/// The longest time budget, in milliseconds. A request with a longer one is rejected.
const MAX_BUDGET_MS: u64 = 600_000;
/// The longest call id, in bytes. A request with a longer one is rejected.
const MAX_CALL_ID_BYTES: usize = 256;

/// Checks that none of [`UNIQUE_HEADERS`] is repeated.
///
/// # Errors
///
/// Returns [`RequestError::RepeatedHeader`] if one is.
pub(super) fn check_unique(headers: &HeaderMap) -> Result<(), RequestError> {
    let is_repeated = |name: HeaderName| headers.get_all(name).iter().nth(1).is_some();
    if UNIQUE_HEADERS.into_iter().any(is_repeated) {
        return Err(RequestError::RepeatedHeader);
    }
    Ok(())
}

/// Returns the call id.
///
/// # Errors
///
/// Returns [`RequestError::InvalidCallId`] if there is none, or if it is empty or too long.
pub(super) fn call_id(headers: &HeaderMap) -> Result<HeaderValue, RequestError> {
    match headers.get(CALL_ID) {
        Some(id) if (1..=MAX_CALL_ID_BYTES).contains(&id.len()) => Ok(id.clone()),
        _ => Err(RequestError::InvalidCallId),
    }
}

/// Returns the idempotency key, if there is one.
pub(super) fn idempotency_key(headers: &HeaderMap) -> Option<HeaderValue> {
    headers.get(IDEMPOTENCY_KEY).cloned()
}

/// Returns the time budget, which is how long the client waits.
///
/// # Errors
///
/// Returns [`RequestError::InvalidBudget`] unless the header is a number of milliseconds from 1 to
/// [`MAX_BUDGET_MS`].
pub(super) fn time_budget(headers: &HeaderMap) -> Result<Duration, RequestError> {
    let milliseconds = text(headers, &BUDGET_MS).and_then(|text| text.parse::<u64>().ok());
    match milliseconds {
        Some(ms) if (1..=MAX_BUDGET_MS).contains(&ms) => Ok(Duration::from_millis(ms)),
        _ => Err(RequestError::InvalidBudget),
    }
}

/// Returns the name of the tenant, if there is one.
pub(super) fn tenant_name(headers: &HeaderMap) -> Option<&str> {
    text(headers, &CALLER)
}

/// Returns the expected work, if the client states it as a number.
pub(super) fn cost(headers: &HeaderMap) -> Option<Duration> {
    let microseconds = text(headers, &CALL_COST)?.parse().ok()?;
    Some(Duration::from_micros(microseconds))
}

/// Returns whether the client marks the request as a retry of an earlier one.
pub(super) fn is_client_retry(headers: &HeaderMap) -> bool {
    headers.get(CLIENT_RETRY).is_some_and(|value| value == "1")
}

/// Returns the value of a header as text, if the header is present and in visible ASCII.
fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
