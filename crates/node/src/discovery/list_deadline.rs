//! The time limit within which a list must arrive from discovery.
//!
//! A node is expected to know of a change 6 s after discovery has it, even if the call or the watch
//! that should have brought it has failed. Each list therefore has one time limit, which starts
//! with the call or after the last complete list or heartbeat on the watch. Bytes that trickle in
//! do not extend it. Only a list that arrives fast enough to be complete in time may use more of
//! the 6 s.

use crate::discovery::error::DiscoveryError;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// The time limit of a list. It leaves enough of the 6 s for another call and the jittered wait
/// before that. Discovery sends a list or heartbeat every 2 s on a watch, so a watch on which none
/// is complete within this limit is broken, even if TCP reports no error.
const LIST_TIMEOUT: Duration = Duration::from_secs(4);
/// The time limit of a list that is arriving fast enough.
const EXTENDED_LIST_TIMEOUT: Duration = Duration::from_millis(5500);
/// How often the rate of a list is checked that takes longer than [`LIST_TIMEOUT`].
const RATE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The lowest rate at which a list may arrive that takes longer than [`LIST_TIMEOUT`]. It is meant
/// to let lists of thousands of endpoints arrive in time. A list that is complete within
/// [`LIST_TIMEOUT`] may be slower.
const MIN_LIST_BYTES_PER_S: f64 = 16.0 * 1024.0;

/// The time limit of the next list or heartbeat.
pub(super) struct ListDeadline {
    started: Instant,
    /// When the first bytes of the list arrived, and how many bytes have arrived since.
    arrived: Option<(Instant, usize)>,
}

impl ListDeadline {
    /// Creates a time limit that starts now.
    pub(super) fn start() -> Self {
        ListDeadline {
            started: Instant::now(),
            arrived: None,
        }
    }

    /// Runs a call until its response begins. Fails with [`DiscoveryError::TimedOut`] if that is
    /// not within [`LIST_TIMEOUT`].
    pub(super) async fn limit_call<T>(
        &self,
        call: impl Future<Output = Result<T, DiscoveryError>>,
    ) -> Result<T, DiscoveryError> {
        timeout_at(self.started + LIST_TIMEOUT, call)
            .await
            .map_err(|_| DiscoveryError::TimedOut)?
    }

    /// Returns the next part of a body, or `None` at its end. Fails with
    /// [`DiscoveryError::TimedOut`] if the list exceeds its time limit.
    pub(super) async fn next_part(
        &mut self,
        body: &mut Incoming,
    ) -> Result<Option<Bytes>, DiscoveryError> {
        let mut check_at = self.started + LIST_TIMEOUT;
        loop {
            match timeout_at(check_at, body.frame()).await {
                Ok(None) => return Ok(None),
                Ok(Some(frame)) => {
                    if let Ok(data) = frame?.into_data() {
                        self.record_arrival(data.len());
                        return Ok(Some(data));
                    }
                }
                Err(_) if self.arrives_fast_enough() => {
                    check_at = Instant::now() + RATE_CHECK_INTERVAL;
                }
                Err(_) => return Err(DiscoveryError::TimedOut),
            }
        }
    }

    /// Records bytes of the list that have arrived.
    fn record_arrival(&mut self, bytes: usize) {
        let (_, arrived_bytes) = self.arrived.get_or_insert((Instant::now(), 0));
        *arrived_bytes += bytes;
    }

    /// Returns whether the list arrives at [`MIN_LIST_BYTES_PER_S`] or faster, and is within
    /// [`EXTENDED_LIST_TIMEOUT`].
    fn arrives_fast_enough(&self) -> bool {
        let Some((first_at, bytes)) = self.arrived else {
            return false;
        };
        let min_bytes = first_at.elapsed().as_secs_f64() * MIN_LIST_BYTES_PER_S;
        bytes as f64 >= min_bytes && self.started.elapsed() < EXTENDED_LIST_TIMEOUT
    }
}
