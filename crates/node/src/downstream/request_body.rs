//! Reads the bodies of requests, and discards those of rejected ones.

use super::connection::{Connection, RequestPart};
use super::request_error::RequestError;
use crate::limits::MAX_BODY_BYTES;
use crate::memory_budget::MemoryLease;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout_at};

/// The greatest number of bytes of a rejected request's body that are read and discarded.
const MAX_DISCARDED_BYTES: usize = 16 * MAX_BODY_BYTES;
/// How long the body of a rejected request is read and discarded: half of
/// `timeouts::LINGER_TIMEOUT`, after which a closing connection is aborted.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a body could not be read.
pub(super) enum BodyError {
    /// The request is invalid.
    Invalid(RequestError),
    /// The connection was evicted to make room.
    Evicted,
}

/// Reads the body of the request whose head was last read on a connection.
pub(super) struct BodyReader<'a> {
    connection: &'a Connection,
    deadline: Instant,
}

impl<'a> BodyReader<'a> {
    /// Creates a reader that reads until the deadline.
    pub(super) fn new(connection: &'a Connection, deadline: Instant) -> Self {
        BodyReader {
            connection,
            deadline,
        }
    }

    /// Reads a body of `length` bytes, for which memory has been leased.
    ///
    /// # Errors
    ///
    /// Returns [`RequestError::ReadTimeout`] if the deadline passes, and
    /// [`RequestError::IncompleteBody`] if the body cannot be read or has another length. Returns
    /// [`BodyError::Evicted`] if the connection is evicted before the body has arrived.
    pub(super) async fn read(
        &self,
        mut body: Incoming,
        length: usize,
        lease: MemoryLease,
    ) -> Result<Bytes, BodyError> {
        let content = match length {
            0 => Bytes::new(),
            _ => lease.attach_to(self.read_all(&mut body, length).await?),
        };
        self.connection.request_received();
        Ok(content)
    }

    /// Returns whether the client may have left before its request was read.
    pub(super) async fn client_may_have_left(&self) -> bool {
        self.connection.may_have_closed_while_waiting().await
    }

    /// Reads a body of `length` bytes to its end.
    async fn read_all(&self, body: &mut Incoming, length: usize) -> Result<Bytes, BodyError> {
        let mut content = BytesMut::with_capacity(length);
        while let Some(frame) = self.next_frame(body).await? {
            if let Ok(data) = frame.into_data() {
                content.extend_from_slice(&data);
            }
        }
        if content.len() != length {
            return Err(BodyError::Invalid(RequestError::IncompleteBody));
        }
        Ok(content.freeze())
    }

    /// Reads the next frame of a body. Returns `None` at its end.
    async fn next_frame(&self, body: &mut Incoming) -> Result<Option<Frame<Bytes>>, BodyError> {
        // Biased, so that the bytes that have arrived are read before the request is given up.
        let frame = tokio::select! {
            biased;
            frame = timeout_at(self.deadline, body.frame()) => frame,
            () = self.connection.evicted_while_reading(RequestPart::Body) => {
                return Err(BodyError::Evicted);
            }
        };
        frame
            .map_err(|_| RequestError::ReadTimeout)?
            .transpose()
            .map_err(|_| BodyError::Invalid(RequestError::IncompleteBody))
    }
}

impl From<RequestError> for BodyError {
    /// The request is invalid.
    fn from(error: RequestError) -> Self {
        BodyError::Invalid(error)
    }
}

/// Reads and drops the body of a rejected request in a task of its own, within limits of size and
/// time. If the connection was closed with bytes unread, it would be reset, and its client might
/// not see the response.
pub(super) fn discard_in_background(body: Incoming) {
    let deadline = Instant::now() + DISCARD_TIMEOUT;
    spawn_local(discard(body, MAX_DISCARDED_BYTES, deadline));
}

/// Reads and drops a body until its end, `max_bytes` or the deadline.
async fn discard(mut body: Incoming, max_bytes: usize, deadline: Instant) {
    let mut discarded = 0;
    while let Ok(Some(Ok(frame))) = timeout_at(deadline, body.frame()).await {
        discarded += frame.data_ref().map_or(0, Bytes::len);
        if discarded > max_bytes {
            return;
        }
    }
}
