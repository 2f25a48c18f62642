//! Subsetting: the number of endpoints that a node uses. If that number is n, the subset is the
//! first n endpoints on the ring from the node's own position (`endpoints/ring.rs`).

use crate::Settings;
use crate::numeric::{DecayingRate, Seconds};
use std::time::Duration;

/// The maximum cost of connections, in the unit of [`CostWeights`](crate::CostWeights). It is small
/// compared to the cost of sending requests without information on the endpoints.
const MAX_CONNECTION_COST: f64 = 0.01;
/// The number of open connections to each endpoint, over all nodes, whose cost is assumed to be the
/// whole of [`CostWeights::connections`](crate::CostWeights::connections), although that includes
/// the cost of new connections.
const REFERENCE_CONNECTIONS: f64 = 100.0;
/// How often the node should observe each endpoint within the rate window. An endpoint that is
/// rarely observed is never found to be slow or gone.
const OBSERVATIONS_PER_WINDOW: f64 = 3.0;
/// The assumed number of observations per attempt sent if loads are polled: health checks, which
/// are sent for requests, double the observations. Otherwise only the attempt itself counts.
const OBSERVATIONS_PER_SEND_IF_POLLED: f64 = 2.0;
/// The lower bound on the observation limit of [`Subset::size`], in endpoints: a quiet node counts
/// as sending the attempts that observe 6 endpoints [`OBSERVATIONS_PER_WINDOW`] times, which are 18
/// per window. If loads are polled, these 18 attempts observe 12 endpoints.
const MIN_OBSERVATION_LIMIT: f64 = 6.0;
/// The endpoints to choose from beyond those that have an attempt in flight each.
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
    /// How many attempts the node should send to each endpoint within the window.
    sends_per_endpoint: f64,
    window: Seconds,
    /// The rate of this node's attempts.
    send_rate: DecayingRate,
}

impl Subset {
    /// Returns the state before the first send.
    pub(crate) fn new(settings: &Settings) -> Self {
        let observations_per_send = if settings.loads_are_polled() {
            OBSERVATIONS_PER_SEND_IF_POLLED
        } else {
            1.0
        };
        let window = settings.rate_window();
        Subset {
            affordable_connections: REFERENCE_CONNECTIONS * MAX_CONNECTION_COST
                / settings.cost_weights.connections,
            node_count: f64::from(settings.node_count),
            sends_per_endpoint: OBSERVATIONS_PER_WINDOW / observations_per_send,
            window,
            send_rate: DecayingRate::new(window),
        }
    }

    /// Records that this node has sent an attempt.
    pub(crate) fn record_send(&mut self, now: Duration) {
        self.send_rate.add(now, 1.0);
    }

    /// Returns how many of the ready endpoints to use: as many as the cost of connections allows
    /// and the node's own attempts can observe, but at least the mean number of attempts in flight
    /// (Little's law) plus [`SPARE_ENDPOINTS`], and at most [`MAX_SUBSET_SIZE`]. The result may
    /// exceed `ready`.
    pub(crate) fn size(&self, ready: usize, mean_response_time: Seconds, now: Duration) -> usize {
        let rate = self.send_rate.per_second(now);
        // Each node is assumed to keep one connection to each endpoint of its subset, which makes
        // `node_count * size / ready` connections to each endpoint.
        let affordable = self.affordable_connections * ready as f64 / self.node_count;
        let min_sends = MIN_OBSERVATION_LIMIT * OBSERVATIONS_PER_WINDOW;
        let sends = (rate * self.window.as_f64()).max(min_sends);
        let observable = sends / self.sends_per_endpoint;
        let mean_in_flight = rate * mean_response_time.as_f64();
        let size = affordable
            .min(observable)
            .max(SPARE_ENDPOINTS + mean_in_flight);
        (size as usize).min(MAX_SUBSET_SIZE)
    }
}
