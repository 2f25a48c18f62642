//! The work that a warm endpoint serves for this node.

use crate::Settings;
use crate::numeric::DecayingRate;
use std::time::Duration;

/// The work per second that a warm endpoint serves for this node.
pub struct EndpointShare {
    /// When this node started.
    started: Duration,
    /// Work that arrived, and work that warm endpoints served.
    arrived: DecayingRate,
    served: DecayingRate,
    /// The most that one has served, forgotten over the slow start window.
    peak: f64,
    peak_updated: Duration,
    window: f64,
}

impl EndpointShare {
    /// Nothing served yet.
    pub fn new(settings: &Settings) -> Self {
        let rate_window = settings.rate_window();
        EndpointShare {
            started: Duration::ZERO,
            arrived: DecayingRate::new(rate_window),
            served: DecayingRate::new(rate_window),
            peak: 0.0,
            peak_updated: Duration::ZERO,
            window: settings.rules.slow_start_window.as_secs_f64().max(1e-3),
        }
    }

    /// This node has started.
    pub fn start(&mut self, now: Duration) {
        self.started = now;
        self.peak_updated = now;
    }

    /// Work has arrived.
    pub fn record_arrival(&mut self, work: f64, now: Duration) {
        self.arrived.add(now, work);
    }

    /// A warm endpoint has served work.
    pub fn record_served(&mut self, work: f64, now: Duration) {
        self.served.add(now, work);
    }

    /// What a warm endpoint can serve does not fall with what is served in an overload: the peak
    /// counts.
    pub fn peak(&self) -> f64 {
        self.peak
    }

    /// Updates the peak, with so many warm endpoints among the `sharing` endpoints that this node
    /// uses.
    pub fn update(&mut self, warm: usize, sharing: usize, now: Duration) {
        let fading = (now - self.peak_updated).as_secs_f64() / self.window;
        self.peak = (self.peak * (-fading).exp()).max(self.present(warm, sharing, now));
        self.peak_updated = now;
    }

    /// The present share; if no endpoint is warm, an even share of what arrives.
    fn present(&self, warm: usize, sharing: usize, now: Duration) -> f64 {
        if warm > 0 {
            return self.served.per_second_since(self.started, now) / warm as f64;
        }
        self.arrived.per_second_since(self.started, now) / sharing.max(1) as f64
    }
}
