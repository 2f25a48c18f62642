//! A rate limit for the log lines that clients and endpoints can cause, which could otherwise fill
//! the disk.

use std::time::{Duration, Instant};

/// The greatest number of lines in each interval.
const MAX_LINES_PER_INTERVAL: u32 = 10;
/// The length of an interval.
const INTERVAL: Duration = Duration::from_secs(1);

/// Limits the number of lines in each interval. An interval starts with the first line after the
/// end of the previous interval.
#[derive(Clone, Copy)]
pub(super) struct LineRateLimiter {
    interval_start: Option<Instant>,
    lines_in_interval: u32,
    suppressed: u64,
}

impl LineRateLimiter {
    /// Returns a limiter that has admitted no line yet.
    pub(super) const fn new() -> Self {
        LineRateLimiter {
            interval_start: None,
            lines_in_interval: 0,
            suppressed: 0,
        }
    }

    /// Returns the number of lines suppressed since the last admitted one, or `None` if this line
    /// is suppressed too.
    pub(super) fn admit(&mut self, now: Instant) -> Option<u64> {
        let is_over = self
            .interval_start
            .is_none_or(|start| now - start >= INTERVAL);
        if is_over {
            self.interval_start = Some(now);
            self.lines_in_interval = 0;
        }
        if self.lines_in_interval >= MAX_LINES_PER_INTERVAL {
            self.suppressed += 1;
            return None;
        }
        self.lines_in_interval += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}
