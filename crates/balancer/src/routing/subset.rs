//! Subsetting: the number of endpoints that a node uses. If that number is n, the subset is the
//! first n endpoints on the ring from the node's own place (`endpoints/ring.rs`).

use crate::Settings;
use crate::numeric::{DecayingRate, Seconds};
use std::time::Duration;

/// The maximum cost of connections, as a fraction of the service. It is small compared to the cost
/// of sending requests without information on the endpoints.
const MAX_CONNECTION_COST: f64 = 0.01;
/// The number of open connections to each endpoint that `CostWeights::connections` is the cost of.
const CONNECTIONS_PER_COST_WEIGHT: f64 = 100.0;
/// How often the node should observe each endpoint within the rate window. An endpoint that is
/// rarely observed is never found to be slow or gone.
const OBSERVATIONS_PER_WINDOW: f64 = 3.0;
/// The number of observations of an endpoint per send: with health checks the node observes it
/// twice as often.
const OBSERVATIONS_PER_SEND_WITH_CHECKS: f64 = 2.0;
/// The least number of endpoints that a node's own traffic is assumed to observe often enough, even
/// if the node is quiet. With health checks it is [`OBSERVATIONS_PER_SEND_WITH_CHECKS`] times as
/// many.
const MIN_OBSERVABLE_ENDPOINTS: f64 = 6.0;
/// The endpoints to choose from beyond those that have a request in flight each.
const SPARE_ENDPOINTS: f64 = 2.0;
/// The maximum size of a subset, which bounds the number of endpoints compared for each request.
const MAX_SUBSET_SIZE: usize = 64;

/// The size of a subset's neighborhood, as a multiple of the size of the subset. The neighborhood
/// is the subset and the endpoints that follow it on the ring, which replace endpoints of the
/// subset that are not eligible.
pub(crate) const NEIGHBORHOOD_FACTOR: usize = 2;

/// Computes the size of a node's subset.
pub(crate) struct Subset {
    /// The number of connections to each endpoint, over all nodes, that cost no more than
    /// [`MAX_CONNECTION_COST`].
    affordable_connections: f64,
    node_count: f64,
    /// How often the node should send a request to each endpoint within the window.
    sends_per_window: f64,
    window: Seconds,
    /// The rate of this node's attempts.
    send_rate: DecayingRate,
}

impl Subset {
    /// Returns the state before the first send.
    pub(crate) fn new(settings: &Settings) -> Self {
        let observations_per_send = if settings.loads_are_polled() {
            OBSERVATIONS_PER_SEND_WITH_CHECKS
        } else {
            1.0
        };
        let window = settings.rate_window();
        Subset {
            affordable_connections: CONNECTIONS_PER_COST_WEIGHT * MAX_CONNECTION_COST
                / settings.cost_weights.connections,
            node_count: f64::from(settings.node_count),
            sends_per_window: OBSERVATIONS_PER_WINDOW / observations_per_send,
            window,
            send_rate: DecayingRate::new(window),
        }
    }

    /// Records an attempt that was sent.
    pub(crate) fn record_send(&mut self, now: Duration) {
        self.send_rate.add(now, 1.0);
    }

    /// Returns how many of the ready endpoints to use: as many as the cost of connections allows
    /// and the node's own traffic can observe, but at least the mean number of requests in flight
    /// (Little's law) plus [`SPARE_ENDPOINTS`], and at most [`MAX_SUBSET_SIZE`].
    pub(crate) fn size(&self, ready: usize, mean_response_time: Seconds, now: Duration) -> usize {
        let rate = self.send_rate.per_second(now);
        let affordable = self.affordable_connections * ready as f64 / self.node_count;
        let min_sends = MIN_OBSERVABLE_ENDPOINTS * OBSERVATIONS_PER_WINDOW;
        let sends = (rate * self.window.as_f64()).max(min_sends);
        let observable = sends / self.sends_per_window;
        let mean_in_flight = rate * mean_response_time.as_f64();
        let size = affordable
            .min(observable)
            .max(SPARE_ENDPOINTS + mean_in_flight);
        (size as usize).min(MAX_SUBSET_SIZE)
    }
}
