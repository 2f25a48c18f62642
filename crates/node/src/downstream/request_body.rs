//! Reading of request bodies.

use super::request_error::RequestError;
use crate::memory_budget::Lease;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

/// Reads a body of the given length, for which memory has been leased, until the deadline.
pub async fn read(
    mut body: Incoming,
    length: usize,
    lease: Lease,
    deadline: Instant,
) -> Result<Bytes, RequestError> {
    if length == 0 {
        return Ok(Bytes::new());
    }
    let mut content = BytesMut::with_capacity(length);
    loop {
        let frame = timeout_at(deadline, body.frame())
            .await
            .map_err(|_| RequestError::ReadTimeout)?;
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|_| RequestError::IncompleteBody)?;
        if let Ok(data) = frame.into_data() {
            content.extend_from_slice(&data);
        }
    }
    if content.len() != length {
        return Err(RequestError::IncompleteBody);
    }
    Ok(lease.keep(content.freeze()))
}

/// Reads and drops the body of a rejected request, up to a number of bytes and a deadline. If the
/// connection was closed with bytes unread, it would be reset, and its client might not see the
/// response.
pub async fn discard(mut body: Incoming, max_bytes: usize, deadline: Instant) {
    let mut discarded = 0;
    while let Ok(Some(Ok(frame))) = timeout_at(deadline, body.frame()).await {
        discarded += frame.data_ref().map_or(0, Bytes::len);
        if discarded > max_bytes {
            return;
        }
    }
}
