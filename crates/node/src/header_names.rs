//! The names of the headers that clients send to the node and the node to endpoints.

use hyper::header::HeaderName;

/// The id that the client gives to the request, which is the same in all its attempts.
pub(crate) const CALL_ID: HeaderName = HeaderName::from_static("x-call-id");
/// The time after which the sender stops waiting, in milliseconds.
pub(crate) const BUDGET_MS: HeaderName = HeaderName::from_static("x-budget-ms");
/// The key by which endpoints drop repeats of the request.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
