//! Parses the heads of requests, and rejects those that do not follow the protocol.

use super::options::{ClassOptions, DownstreamOptions};
use super::request_error::RequestError;
use super::request_headers;
use crate::limits::MAX_BODY_BYTES;
use crate::stable_hash::stable_hash;
use hyper::Method;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use ottertiller_balancer::Idempotency;
use std::time::Duration;

/// A request whose head has been checked.
pub(super) struct ParsedRequest {
    /// The method, which is forwarded.
    pub method: Method,
    /// The path and query, which are forwarded.
    pub path: PathAndQuery,
    /// The X-Call-Id, which is forwarded.
    pub call_id: HeaderValue,
    /// The Idempotency-Key, which is forwarded.
    pub idempotency_key: Option<HeaderValue>,
    /// The position of the class among the configured ones.
    pub class: usize,
    /// The position of the tenant among the configured ones; 0 if none is configured.
    pub tenant: usize,
    /// The number that identifies the key at the end of the path; 0 for none.
    pub key: u64,
    /// How long the client waits, counted from when the request was received.
    pub time_budget: Duration,
    /// How long endpoints remember the idempotency key, if the class has one.
    pub idempotency_window: Option<Duration>,
    /// The expected work, if the client states it.
    pub cost: Option<Duration>,
    /// Whether the client marks the request as a retry of an earlier one.
    pub is_client_retry: bool,
    /// The length of the body, in bytes.
    pub body_length: usize,
}

/// Returns the length of the body, as the head states it. Does not wait for the body, since a
/// client may send it only after the head has been accepted.
///
/// # Errors
///
/// Rejects a body of unknown length, or one above the protocol's limit.
pub(super) fn body_length(head: &Parts, body: &Incoming) -> Result<usize, RequestError> {
    if head.headers.contains_key(TRANSFER_ENCODING) {
        return Err(RequestError::TransferEncoding);
    }
    let length = body
        .size_hint()
        .exact()
        .ok_or(RequestError::UnknownLength)?;
    match usize::try_from(length) {
        Ok(length) if length <= MAX_BODY_BYTES => Ok(length),
        _ => Err(RequestError::BodyTooLarge),
    }
}

/// Parses and checks the head of a request whose body has this length.
///
/// # Errors
///
/// Rejects every head that does not follow the protocol, so that it never reaches an endpoint.
pub(super) fn parse(
    options: &DownstreamOptions,
    head: Parts,
    body_length: usize,
) -> Result<ParsedRequest, RequestError> {
    let path = head
        .uri
        .path_and_query()
        .ok_or(RequestError::NoPath)?
        .clone();
    let ClassAndKey { class, key } = parse_path(options, path.path())?;
    let headers = &head.headers;
    request_headers::check_unique(headers)?;
    let class_options = &options.classes[class];
    check_method(class_options, &head.method, body_length)?;
    let idempotency_key = request_headers::idempotency_key(headers);
    let idempotency_window = idempotency_window(class_options, idempotency_key.is_some())?;
    let call_id = request_headers::call_id(headers)?;
    let time_budget = request_headers::time_budget(headers)?;
    let tenant = find_tenant(options, headers)?;
    let cost = request_headers::cost(headers);
    let is_client_retry = request_headers::is_client_retry(headers);
    Ok(ParsedRequest {
        method: head.method,
        path,
        call_id,
        idempotency_key,
        class,
        tenant,
        key,
        time_budget,
        idempotency_window,
        cost,
        is_client_retry,
        body_length,
    })
}

/// The class and key in a path `/class/.../key`.
struct ClassAndKey {
    /// The position of the class among the configured ones.
    class: usize,
    /// The number that identifies the key; 0 for none.
    key: u64,
}

/// Parses a path. Rejects a path without a known class.
fn parse_path(options: &DownstreamOptions, path: &str) -> Result<ClassAndKey, RequestError> {
    let mut segments = path
        .strip_prefix('/')
        .ok_or(RequestError::NoPath)?
        .split('/');
    let class_name = segments.next().unwrap_or_default();
    let class = options
        .classes
        .iter()
        .position(|class| class.name == class_name)
        .ok_or(RequestError::UnknownClass)?;
    let key = match segments.next_back() {
        None | Some("") => 0,
        Some(key) => key_number(key),
    };
    Ok(ClassAndKey { class, key })
}

/// Returns the number that identifies a key: its value if it is hexadecimal, else its hash. The
/// same text gives the same number at every node.
fn key_number(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| stable_hash(text))
}

/// Checks that the method is the one that the class requires, and that a GET has no body.
fn check_method(
    class: &ClassOptions,
    method: &Method,
    body_length: usize,
) -> Result<(), RequestError> {
    let is_idempotent = class.idempotency == Idempotency::Idempotent;
    let expected = if is_idempotent {
        Method::GET
    } else {
        Method::POST
    };
    if *method != expected {
        return Err(RequestError::WrongMethod);
    }
    if is_idempotent && body_length > 0 {
        return Err(RequestError::UnexpectedBody);
    }
    Ok(())
}

/// Returns how long endpoints remember the idempotency key, if the class has one.
fn idempotency_window(
    class: &ClassOptions,
    has_key: bool,
) -> Result<Option<Duration>, RequestError> {
    match class.idempotency {
        Idempotency::Keyed { window, .. } if has_key => Ok(Some(window)),
        Idempotency::Keyed { .. } => Err(RequestError::MissingIdempotencyKey),
        Idempotency::Idempotent | Idempotency::NotIdempotent => Ok(None),
    }
}

/// Returns the position of the tenant among the configured ones; 0 if none is configured.
fn find_tenant(options: &DownstreamOptions, headers: &HeaderMap) -> Result<usize, RequestError> {
    if options.tenants.is_empty() {
        return Ok(0);
    }
    let name = request_headers::tenant_name(headers).ok_or(RequestError::UnknownTenant)?;
    options
        .tenants
        .iter()
        .position(|tenant| tenant == name)
        .ok_or(RequestError::UnknownTenant)
}
