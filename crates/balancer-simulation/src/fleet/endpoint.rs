//! An endpoint of a fleet: one queue of requests, served at its present capacity.

use ottertiller_balancer::{EndpointEntry, LoadReport, Rules};
use std::collections::VecDeque;
use std::time::Duration;

/// An endpoint that serves one request after the other.
pub struct SimulatedEndpoint {
    /// Its entry of the endpoint list.
    pub entry: EndpointEntry,
    /// When it will have served all requests in its queue.
    free_at: Duration,
    /// When requests were sent to it within the last overload window.
    recent: VecDeque<Duration>,
    /// The highest number of requests by which its limit in slow start was exceeded in a window.
    pub(super) max_limit_excess: f64,
    /// Requests that it has served.
    pub served: usize,
}

impl SimulatedEndpoint {
    pub(super) fn new(entry: EndpointEntry, now: Duration) -> Self {
        SimulatedEndpoint {
            entry,
            free_at: now,
            recent: VecDeque::new(),
            max_limit_excess: f64::MIN,
            served: 0,
        }
    }

    /// Queues a request of that much work, and returns the time at which it will be served.
    /// `capacity` is what the endpoint can do after its slow start.
    pub(super) fn accept(
        &mut self,
        now: Duration,
        work: f64,
        capacity: f64,
        rules: &Rules,
    ) -> Duration {
        let fraction = self.capacity_fraction(now, rules);
        if fraction < 1.0 {
            self.count_overload(now, fraction, capacity, rules);
        }
        let starts = self.free_at.max(now);
        self.free_at = starts + Duration::from_secs_f64(work / (capacity * fraction));
        self.free_at
    }

    /// Returns the fraction of its capacity that it has at this point of its slow start.
    fn capacity_fraction(&self, now: Duration, rules: &Rules) -> f64 {
        self.entry.started.map_or(1.0, |started| {
            let progress = (now - started).as_secs_f64() / rules.slow_start_window.as_secs_f64();
            (rules.initial_capacity + (1.0 - rules.initial_capacity) * progress).min(1.0)
        })
    }

    /// Counts a request during slow start, and compares the requests of the last window with the
    /// limit: the N that the settings allow, and 2 x sqrt(N) + 2 more as an allowance for chance.
    fn count_overload(&mut self, now: Duration, fraction: f64, capacity: f64, rules: &Rules) {
        self.recent.push_back(now);
        while self
            .recent
            .front()
            .is_some_and(|at| now - *at > rules.overload_window)
        {
            self.recent.pop_front();
        }
        let window = rules.overload_window.as_secs_f64();
        let allowed = rules.overload_factor * fraction * capacity * window;
        let limit = allowed + 2.0 * allowed.sqrt() + 2.0;
        let sent = self.recent.len() as f64;
        self.max_limit_excess = self.max_limit_excess.max(sent - limit);
    }

    /// Returns its own report of its requests in flight.
    pub(super) fn load_report(&self, now: Duration, capacity: f64) -> LoadReport {
        let left = self.free_at.saturating_sub(now).as_secs_f64();
        LoadReport {
            in_flight: Some((left * capacity).ceil() as f32),
            ..LoadReport::default()
        }
    }
}
