//! Limits the number of lines about peers, which could fill any disk.

use std::time::{Duration, Instant};

/// The most lines in each interval.
const MAX_PEER_LINES: u32 = 10;
/// The length of an interval.
const PEER_LINES_INTERVAL: Duration = Duration::from_secs(1);

/// Limits the number of lines in each interval. An interval starts with the first line after the
/// last one's end.
#[derive(Clone, Copy)]
pub struct PeerLineLimit {
    interval_start: Option<Instant>,
    lines_in_interval: u32,
    suppressed: u64,
}

impl PeerLineLimit {
    /// Returns a limit that has admitted no line yet.
    pub const fn new() -> Self {
        PeerLineLimit {
            interval_start: None,
            lines_in_interval: 0,
            suppressed: 0,
        }
    }

    /// Admits a line, with the number of those suppressed since the last; `None` if this one is
    /// suppressed.
    pub fn admit(&mut self, now: Instant) -> Option<u64> {
        let is_over = self
            .interval_start
            .is_none_or(|start| now - start >= PEER_LINES_INTERVAL);
        if is_over {
            self.interval_start = Some(now);
            self.lines_in_interval = 0;
        }
        if self.lines_in_interval >= MAX_PEER_LINES {
            self.suppressed += 1;
            return None;
        }
        self.lines_in_interval += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}
