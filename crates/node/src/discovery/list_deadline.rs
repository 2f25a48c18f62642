//! How long discovery may take for a list.
//!
//! A node counts as knowing of a change 6 s after discovery had it, whatever became of the call or
//! the watch that was to bring it. So a list has one time limit, from the call or from whatever
//! came whole before it on the watch, and bytes that trickle in do not extend it. A list that
//! arrives fast enough to become whole may use more of the 6 s.

use crate::discovery::error::DiscoveryError;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// The time for a list. It leaves time for another call, with the pause before that and its jitter.
/// A watch sends something every 2 s, so that one without anything whole for so long is broken,
/// whatever TCP says.
const LIST_TIMEOUT: Duration = Duration::from_secs(4);
/// The time for a list that is arriving fast.
const ARRIVING_LIST_TIMEOUT: Duration = Duration::from_millis(5500);
/// How often the pace is checked of a list that takes longer than [`LIST_TIMEOUT`].
const PACE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// What arrives at this pace makes a list of thousands of endpoints in time; the slowest list that
/// becomes whole within [`LIST_TIMEOUT`] needs no check.
const MIN_BYTES_PER_S: f64 = 16.0 * 1024.0;

/// The time limit of the list that is awaited.
pub struct ListDeadline {
    started: Instant,
    /// When the first bytes of the list came, and how many have come.
    arriving: Option<(Instant, usize)>,
}

impl ListDeadline {
    /// Returns a time limit that begins now.
    pub fn start() -> Self {
        ListDeadline {
            started: Instant::now(),
            arriving: None,
        }
    }

    /// Runs a call until its response begins, or fails with [`DiscoveryError::TimedOut`].
    pub async fn limit_call<T>(
        &self,
        call: impl Future<Output = Result<T, DiscoveryError>>,
    ) -> Result<T, DiscoveryError> {
        timeout_at(self.started + LIST_TIMEOUT, call)
            .await
            .map_err(|_| DiscoveryError::TimedOut)?
    }

    /// Returns the next part of a body; `None` at its end. Fails with [`DiscoveryError::TimedOut`]
    /// if the list is late.
    pub async fn next_part(
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
                Err(_) if self.is_on_pace() => check_at = Instant::now() + PACE_CHECK_INTERVAL,
                Err(_) => return Err(DiscoveryError::TimedOut),
            }
        }
    }

    /// Records bytes of the list that have arrived.
    fn record_arrival(&mut self, bytes: usize) {
        let (_, arrived) = self.arriving.get_or_insert((Instant::now(), 0));
        *arrived += bytes;
    }

    /// Returns whether the list arrives fast enough to become whole in time.
    fn is_on_pace(&self) -> bool {
        let Some((first, bytes)) = self.arriving else {
            return false;
        };
        let needed = first.elapsed().as_secs_f64() * MIN_BYTES_PER_S;
        bytes as f64 >= needed && self.started.elapsed() < ARRIVING_LIST_TIMEOUT
    }
}
