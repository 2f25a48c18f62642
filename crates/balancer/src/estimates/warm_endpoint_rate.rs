//! The rate of work that a warm endpoint serves for this node. An endpoint is warm after its slow
//! start.

use crate::Settings;
use crate::numeric::{DecayingRate, Seconds};
use std::time::Duration;

/// The minimum time constant of the peak's decay.
const MIN_PEAK_WINDOW: Seconds = Seconds::new(1e-3);

/// The work per second that a warm endpoint serves for this node. The unit is the mean work of a
/// request.
pub(crate) struct WarmEndpointRate {
    /// When this node started.
    started: Duration,
    /// The rate of work that arrived.
    arrived: DecayingRate,
    /// The rate of work that all warm endpoints served.
    served: DecayingRate,
    /// The highest rate of one endpoint, which decays over the slow start window.
    peak: f64,
    peak_updated: Duration,
    peak_window: Seconds,
}

impl WarmEndpointRate {
    /// Returns a rate of zero.
    pub(crate) fn new(settings: &Settings) -> Self {
        let rate_window = settings.rate_window();
        WarmEndpointRate {
            started: Duration::ZERO,
            arrived: DecayingRate::new(rate_window),
            served: DecayingRate::new(rate_window),
            peak: 0.0,
            peak_updated: Duration::ZERO,
            peak_window: Seconds::from(settings.rules.slow_start_window).max(MIN_PEAK_WINDOW),
        }
    }

    /// Records that this node has started.
    pub(crate) fn start(&mut self, now: Duration) {
        self.started = now;
        self.peak_updated = now;
    }

    /// Records work that has arrived.
    pub(crate) fn record_arrival(&mut self, work: f64, now: Duration) {
        self.arrived.add(now, work);
    }

    /// Records work that a warm endpoint has served.
    pub(crate) fn record_served(&mut self, work: f64, now: Duration) {
        self.served.add(now, work);
    }

    /// Returns the peak rate. Decisions use the peak because the current rate falls in an overload,
    /// while the capacity of an endpoint does not.
    pub(crate) fn peak(&self) -> f64 {
        self.peak
    }

    /// Updates the peak. This node uses `used_count` endpoints, of which `warm_count` are warm.
    pub(crate) fn update(&mut self, warm_count: usize, used_count: usize, now: Duration) {
        let windows = Seconds::from(now - self.peak_updated) / self.peak_window;
        let remaining = self.peak * (-windows).exp();
        self.peak = remaining.max(self.current(warm_count, used_count, now));
        self.peak_updated = now;
    }

    /// Returns the current rate of one warm endpoint. If none is warm, returns the rate of arriving
    /// work divided evenly among the endpoints that this node uses.
    fn current(&self, warm_count: usize, used_count: usize, now: Duration) -> f64 {
        if warm_count > 0 {
            return self.served.per_second_since(self.started, now) / warm_count as f64;
        }
        self.arrived.per_second_since(self.started, now) / used_count.max(1) as f64
    }
}
