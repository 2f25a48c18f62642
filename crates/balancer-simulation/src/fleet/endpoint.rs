//! A simulated endpoint: a queue of requests, each of which is served at the capacity that the
//! endpoint had when the request arrived.

use ottertiller_balancer::{EndpointEntry, LoadReport, Rules};
use std::collections::VecDeque;
use std::time::Duration;

/// An endpoint that serves one request after the other.
pub struct SimulatedEndpoint {
    /// Its entry in the endpoint list.
    pub entry: EndpointEntry,
    /// When it will have served all requests in its queue.
    free_at: Duration,
    /// The times of the requests that were sent to it within the last overload window, recorded
    /// during slow start only.
    recent_sends: VecDeque<Duration>,
    /// The highest number of requests by which its limit was exceeded in an overload window during
    /// slow start; at most 0 if the limit was kept, and `f64::MIN` if no request was sent to it
    /// during slow start.
    pub(super) max_limit_excess: f64,
    /// The number of requests that it has served.
    pub served: usize,
}

impl SimulatedEndpoint {
    pub(super) fn new(entry: EndpointEntry, now: Duration) -> Self {
        SimulatedEndpoint {
            entry,
            free_at: now,
            recent_sends: VecDeque::new(),
            max_limit_excess: f64::MIN,
            served: 0,
        }
    }

    /// Queues a request, and returns the time at which it will be served. `work` is a multiple of
    /// the mean work; `capacity` is the endpoint's full capacity in requests per second. The
    /// request is served at the capacity that the endpoint has at `now`, even if its turn comes
    /// later.
    pub(super) fn accept(
        &mut self,
        now: Duration,
        work: f64,
        capacity: f64,
        rules: &Rules,
    ) -> Duration {
        let fraction = self.capacity_fraction(now, rules);
        if fraction < 1.0 {
            self.record_send_in_slow_start(now, fraction, capacity, rules);
        }
        let starts_at = self.free_at.max(now);
        self.free_at = starts_at + Duration::from_secs_f64(work / (capacity * fraction));
        self.free_at
    }

    /// Returns the fraction of its full capacity that it has at `now`.
    fn capacity_fraction(&self, now: Duration, rules: &Rules) -> f64 {
        self.entry.started.map_or(1.0, |started| {
            let progress = (now - started).as_secs_f64() / rules.slow_start_window.as_secs_f64();
            (rules.initial_capacity + (1.0 - rules.initial_capacity) * progress).min(1.0)
        })
    }

    /// Records a request during slow start, and compares the number of requests in the last
    /// overload window with the limit N + 2 x sqrt(N) + 2. N is the number that the settings allow;
    /// the rest is an allowance for random variation.
    fn record_send_in_slow_start(
        &mut self,
        now: Duration,
        fraction: f64,
        capacity: f64,
        rules: &Rules,
    ) {
        self.recent_sends.push_back(now);
        while self
            .recent_sends
            .front()
            .is_some_and(|at| now - *at > rules.overload_window)
        {
            self.recent_sends.pop_front();
        }
        let window = rules.overload_window.as_secs_f64();
        let allowed = rules.overload_factor * fraction * capacity * window;
        let limit = allowed + 2.0 * allowed.sqrt() + 2.0;
        let sent = self.recent_sends.len() as f64;
        self.max_limit_excess = self.max_limit_excess.max(sent - limit);
    }

    /// Returns a load report with an estimate of its requests in flight: the time to serve its
    /// queue times its full capacity. In slow start, the estimate is too high, since requests are
    /// served at less than the full capacity.
    pub(super) fn load_report(&self, now: Duration, capacity: f64) -> LoadReport {
        let busy_seconds = self.free_at.saturating_sub(now).as_secs_f64();
        LoadReport {
            in_flight: Some((busy_seconds * capacity).ceil() as f32),
            ..LoadReport::default()
        }
    }
}
