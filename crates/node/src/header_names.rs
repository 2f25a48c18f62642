//! The names of the headers that clients send to the node and the node to endpoints.

use hyper::header::HeaderName;

/// The id that the client gives to a request. All attempts of the request carry it.
pub(crate) const CALL_ID: HeaderName = HeaderName::from_static("x-call-id");
/// How long the sender waits for the response, in milliseconds.
pub(crate) const BUDGET_MS: HeaderName = HeaderName::from_static("x-budget-ms");
/// The key by which endpoints recognize and drop repeats of a request.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
