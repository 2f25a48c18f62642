//! The work that a warm endpoint serves for this node.

use crate::Settings;
use crate::numeric::{DecayingRate, Seconds};
use std::time::Duration;

/// The least time over which the peak is forgotten.
const MIN_PEAK_WINDOW: Seconds = Seconds::new(1e-3);

/// The work per second that a warm endpoint serves for this node, in multiples of a mean request's.
pub(crate) struct WarmEndpointRate {
    /// When this node started.
    started: Duration,
    /// Work that arrived.
    arrived: DecayingRate,
    /// Work that warm endpoints served.
    served: DecayingRate,
    /// The most that one has served, forgotten over the slow start window.
    peak: f64,
    peak_updated: Duration,
    peak_window: Seconds,
}

impl WarmEndpointRate {
    /// Returns a share of zero.
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

    /// Returns the peak of the share. What a warm endpoint can serve does not fall with what is
    /// served in an overload.
    pub(crate) fn peak(&self) -> f64 {
        self.peak
    }

    /// Updates the peak, with so many warm endpoints among the `sharing` endpoints that this node
    /// uses.
    pub(crate) fn update(&mut self, warm: usize, sharing: usize, now: Duration) {
        let windows = Seconds::from(now - self.peak_updated) / self.peak_window;
        let remaining = self.peak * (-windows).exp();
        self.peak = remaining.max(self.current(warm, sharing, now));
        self.peak_updated = now;
    }

    /// Returns the present share; if no endpoint is warm, an even share of what arrives.
    fn current(&self, warm: usize, sharing: usize, now: Duration) -> f64 {
        if warm > 0 {
            return self.served.per_second_since(self.started, now) / warm as f64;
        }
        self.arrived.per_second_since(self.started, now) / sharing.max(1) as f64
    }
}
