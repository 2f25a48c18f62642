//! The checks that a request's head must pass to be admitted.

use super::options::{DownstreamOptions, RequestClass};
use super::request_error::RequestError;
use crate::limits::MAX_BODY_BYTES;
use fnv::FnvHasher;
use hyper::Method;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use ottertiller_balancer::Idempotency;
use std::hash::Hasher;
use std::time::Duration;

const CALL_ID: &str = "x-call-id";
const BUDGET_MS: &str = "x-budget-ms";
const IDEMPOTENCY_KEY: &str = "idempotency-key";
const CALLER: &str = "x-caller";
const CALL_COST: &str = "x-call-cost";
const CLIENT_RETRY: &str = "x-again";

/// Headers that must not be repeated: an endpoint might read another of the values than this node
/// does.
const UNIQUE_HEADERS: [&str; 4] = [CALL_ID, BUDGET_MS, IDEMPOTENCY_KEY, CALLER];
const MAX_BUDGET_MS: u64 = 600_000;
const MAX_CALL_ID_BYTES: usize = 256;

/// A request whose head has been checked.
pub struct ParsedRequest {
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
    /// The number of what the request is about; 0 for nothing.
    pub key: u64,
    /// How long the client waits from now on.
    pub budget: Duration,
    /// How long endpoints remember the idempotency key, if the class has one.
    pub idempotency_window: Option<Duration>,
    /// The expected work, where the client knows it.
    pub cost: Option<Duration>,
    /// Whether the client says that it repeats an earlier request.
    pub is_client_retry: bool,
    /// The length of the body.
    pub body_length: usize,
}

/// Checks the framing of the body from the head alone: a client that waits to send the body is not
/// kept waiting.
pub fn body_length(head: &Parts, body: &Incoming) -> Result<usize, RequestError> {
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

/// Parses a head. What does not follow the protocol never reaches an endpoint.
pub fn parse(
    options: &DownstreamOptions,
    head: Parts,
    body_length: usize,
) -> Result<ParsedRequest, RequestError> {
    let path = head
        .uri
        .path_and_query()
        .ok_or(RequestError::NoPath)?
        .clone();
    let target = parse_target(options, path.path())?;
    let class = &options.classes[target.class];
    let headers = &head.headers;
    check_unique(headers)?;
    check_method(class, &head.method, body_length)?;
    let idempotency_key = headers.get(IDEMPOTENCY_KEY).cloned();
    let idempotency_window = idempotency_window(class, idempotency_key.is_some())?;
    let call_id = parse_call_id(headers)?;
    let budget = parse_budget(headers)?;
    let tenant = parse_tenant(options, headers)?;
    Ok(ParsedRequest {
        method: head.method,
        path,
        call_id,
        idempotency_key,
        class: target.class,
        tenant,
        key: target.key,
        budget,
        idempotency_window,
        cost: parse_cost(headers),
        is_client_retry: headers.get(CLIENT_RETRY).is_some_and(|value| value == "1"),
        body_length,
    })
}

/// What a path `/class/.../key` says.
struct Target {
    class: usize,
    key: u64,
}

fn parse_target(options: &DownstreamOptions, path: &str) -> Result<Target, RequestError> {
    let mut segments = path
        .strip_prefix('/')
        .ok_or(RequestError::NoPath)?
        .split('/');
    let name = segments.next().unwrap_or_default();
    let class = options.classes.iter().position(|class| class.name == name);
    let class = class.ok_or(RequestError::UnknownClass)?;
    let key = match segments.next_back() {
        None | Some("") => 0,
        Some(key) => key_number(key),
    };
    Ok(Target { class, key })
}

/// The number of a key: the same text gives the same number at every node.
fn key_number(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| {
        let mut hasher = FnvHasher::default();
        hasher.write(text.as_bytes());
        hasher.finish()
    })
}

fn check_unique(headers: &HeaderMap) -> Result<(), RequestError> {
    let is_repeated = |name: &&str| headers.get_all(*name).iter().nth(1).is_some();
    if UNIQUE_HEADERS.iter().any(is_repeated) {
        return Err(RequestError::RepeatedHeader);
    }
    Ok(())
}

fn check_method(
    class: &RequestClass,
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

fn idempotency_window(
    class: &RequestClass,
    has_key: bool,
) -> Result<Option<Duration>, RequestError> {
    match class.idempotency {
        Idempotency::Keyed { window, .. } if has_key => Ok(Some(window)),
        Idempotency::Keyed { .. } => Err(RequestError::MissingIdempotencyKey),
        Idempotency::Idempotent | Idempotency::NotIdempotent => Ok(None),
    }
}

fn parse_call_id(headers: &HeaderMap) -> Result<HeaderValue, RequestError> {
    match headers.get(CALL_ID) {
        Some(id) if (1..=MAX_CALL_ID_BYTES).contains(&id.len()) => Ok(id.clone()),
        _ => Err(RequestError::InvalidCallId),
    }
}

fn parse_budget(headers: &HeaderMap) -> Result<Duration, RequestError> {
    let budget = header_text(headers, BUDGET_MS).and_then(|text| text.parse::<u64>().ok());
    match budget {
        Some(ms) if (1..=MAX_BUDGET_MS).contains(&ms) => Ok(Duration::from_millis(ms)),
        _ => Err(RequestError::InvalidBudget),
    }
}

fn parse_tenant(options: &DownstreamOptions, headers: &HeaderMap) -> Result<usize, RequestError> {
    if options.tenants.is_empty() {
        return Ok(0);
    }
    let caller = header_text(headers, CALLER).ok_or(RequestError::UnknownTenant)?;
    let tenant = options.tenants.iter().position(|tenant| tenant == caller);
    tenant.ok_or(RequestError::UnknownTenant)
}

fn parse_cost(headers: &HeaderMap) -> Option<Duration> {
    let microseconds = header_text(headers, CALL_COST)?.parse().ok()?;
    Some(Duration::from_micros(microseconds))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
