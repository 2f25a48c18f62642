//! What a node has seen of response times, of the work of requests and of the work that endpoints
//! serve: moving averages, no decisions.

use crate::Settings;
use crate::arithmetic::{DecayingRate, SMOOTHING, smooth};
use std::time::Duration;

/// Response times, in seconds.
pub struct ResponseTimes {
    /// Over all classes.
    pub mean: f64,
    /// Of a request of mean work.
    pub median: f64,
    by_class: Vec<f64>,
}

impl ResponseTimes {
    /// Before any response: about half of the latency objectives.
    pub fn new(settings: &Settings) -> Self {
        let objectives = settings.classes.iter().map(|class| class.latency_objective);
        let shortest = objectives.clone().min().unwrap_or_default().as_secs_f64();
        ResponseTimes {
            mean: shortest / 2.0,
            median: shortest / 4.0,
            by_class: objectives
                .map(|objective| objective.as_secs_f64() / 2.0)
                .collect(),
        }
    }

    /// The mean time of this class's responses.
    pub fn class_mean(&self, class: usize) -> f64 {
        self.by_class[class]
    }

    /// A request of this class and relative work was served in this time.
    pub fn record(&mut self, class: usize, work: f64, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64();
        smooth(&mut self.by_class[class], elapsed, SMOOTHING / 4.0);
        smooth(&mut self.mean, elapsed, SMOOTHING / 4.0);
        // A stochastic median: one step up or down, whichever side of it the response fell.
        let step = if elapsed > self.median * work.max(1.0) {
            SMOOTHING
        } else {
            -SMOOTHING
        };
        self.median *= 1.0 + step / 4.0;
    }
}

/// The mean of the work that requests declare, in seconds; zero before the first.
#[derive(Default)]
pub struct DeclaredWork {
    /// In seconds.
    pub mean: f64,
}

impl DeclaredWork {
    /// Takes in a request's declared work and returns it as a multiple of the mean; 1 where there
    /// is none.
    pub fn record(&mut self, declared: Option<Duration>) -> f64 {
        let work = declared.unwrap_or_default().as_secs_f64();
        if work <= 0.0 {
            return 1.0;
        }
        let weight = if self.mean == 0.0 {
            1.0
        } else {
            SMOOTHING / 8.0
        };
        smooth(&mut self.mean, work, weight);
        work / self.mean
    }
}

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
