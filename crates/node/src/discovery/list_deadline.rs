//! How long discovery may take for a list.
//!
//! A node counts as knowing of a change 6 s after discovery had it, whatever became of the call or
//! the watch that was to bring it. So a list has one time limit, from the call or from whatever
//! came whole before it on the watch, and bytes that trickle in do not extend it. A list that
//! arrives fast enough to become whole may use more of the 6 s.

use crate::discovery::error::ClientError;
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
    /// A limit that begins now.
    pub fn start() -> Self {
        ListDeadline {
            started: Instant::now(),
            arriving: None,
        }
    }

    /// Runs a call until its response begins.
    pub async fn limit_call<T>(
        &self,
        call: impl Future<Output = Result<T, ClientError>>,
    ) -> Result<T, ClientError> {
        timeout_at(self.started + LIST_TIMEOUT, call)
            .await
            .map_err(|_| ClientError::TimedOut)?
    }

    /// The next part of a body; `None` at its end.
    pub async fn next_part(&mut self, body: &mut Incoming) -> Result<Option<Bytes>, ClientError> {
        let mut check_at = self.started + LIST_TIMEOUT;
        loop {
            match timeout_at(check_at, body.frame()).await {
                Ok(None) => return Ok(None),
                Ok(Some(frame)) => {
                    if let Ok(data) = frame?.into_data() {
                        self.count(data.len());
                        return Ok(Some(data));
                    }
                }
                Err(_) if self.may_go_on() => check_at = Instant::now() + PACE_CHECK_INTERVAL,
                Err(_) => return Err(ClientError::TimedOut),
            }
        }
    }

    fn count(&mut self, bytes: usize) {
        let (_, arrived) = self.arriving.get_or_insert((Instant::now(), 0));
        *arrived += bytes;
    }

    fn may_go_on(&self) -> bool {
        let Some((first, bytes)) = self.arriving else {
            return false;
        };
        let needed = first.elapsed().as_secs_f64() * MIN_BYTES_PER_S;
        bytes as f64 >= needed && self.started.elapsed() < ARRIVING_LIST_TIMEOUT
    }
}
