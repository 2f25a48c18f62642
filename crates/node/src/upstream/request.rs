//! The HTTP requests that are sent to endpoints.

use crate::header_names::{BUDGET_MS, CALL_ID, IDEMPOTENCY_KEY};
use crate::upstream::attempt::Attempt;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::{Method, Request, Uri};
use std::net::SocketAddr;
use std::time::Duration;

impl Attempt {
    /// Builds the request to write at `now`, and records `now` as the time of the first attempt if
    /// there was none before.
    ///
    /// Returns `None` if the request may no longer be written: the attempt has expired, endpoints
    /// may have forgotten the idempotency key, or the request already has its final response.
    pub(super) fn prepare_request(
        &self,
        now: Duration,
        destination: SocketAddr,
    ) -> Option<Request<Full<Bytes>>> {
        if now >= self.expires_at || self.is_key_forgotten(now) {
            return None;
        }
        let body = self.upstream_request.body()?;
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = self.upstream_request.method.clone();
        *request.uri_mut() = self.upstream_request.path.clone().into();
        self.insert_headers(request.headers_mut(), now, destination);
        if self.upstream_request.first_sent_at.get().is_none() {
            self.upstream_request.first_sent_at.set(Some(now));
        }
        Some(request)
    }

    /// Returns whether endpoints may have forgotten the idempotency key of an earlier attempt, so
    /// that they would run the request a second time.
    fn is_key_forgotten(&self, now: Duration) -> bool {
        match (
            self.upstream_request.idempotency_window,
            self.upstream_request.first_sent_at.get(),
        ) {
            (Some(window), Some(first_sent_at)) => now >= first_sent_at + window,
            _ => false,
        }
    }

    /// Inserts the request's headers.
    fn insert_headers(&self, headers: &mut HeaderMap, now: Duration, destination: SocketAddr) {
        let remaining_ms = (self.expires_at - now).as_millis().max(1) as u64;
        headers.insert(HOST, host(destination));
        headers.insert(CALL_ID, self.upstream_request.call_id.clone());
        headers.insert(BUDGET_MS, remaining_ms.into());
        if let Some(key) = &self.upstream_request.idempotency_key {
            headers.insert(IDEMPOTENCY_KEY, key.clone());
        }
    }
}

/// Returns the request of a health check.
pub(super) fn health_check(path: &'static str, destination: SocketAddr) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    *request.method_mut() = Method::GET;
    *request.uri_mut() = Uri::from_static(path);
    request.headers_mut().insert(HOST, host(destination));
    request
}

/// Returns the value of the `Host` header.
fn host(address: SocketAddr) -> HeaderValue {
    // An address is always a valid header value; the fallback is never used.
    HeaderValue::from_str(&address.to_string()).unwrap_or(HeaderValue::from_static("endpoint"))
}
