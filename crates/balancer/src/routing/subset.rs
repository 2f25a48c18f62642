//! How many endpoints a node uses: the next so many on the ring from its own place
//! (`endpoints/ring.rs`).

use crate::Settings;
use crate::numeric::{DecayingRate, Seconds};
use std::time::Duration;

/// The share of the service that connections may cost: little beside what uninformed sends cost.
const CONNECTION_BUDGET: f64 = 0.01;
/// The connections open to each endpoint that `CostWeights::connections` is the price of.
const PRICED_CONNECTIONS: f64 = 100.0;
/// How often an endpoint is to be seen within the window of rates: one that is seen seldom is never
/// known to be slow or gone.
const SIGHTINGS: f64 = 3.0;
/// With health checks the node sees an endpoint twice as often.
const SIGHTINGS_PER_SEND_WITH_CHECKS: f64 = 2.0;
/// The fewest endpoints that own traffic is taken to keep in view, also on a quiet node. With
/// health checks it is [`SIGHTINGS_PER_SEND_WITH_CHECKS`] times as many.
const MIN_IN_VIEW: f64 = 6.0;
/// Endpoints to choose from beyond those that hold a request each.
const SPARE: f64 = 2.0;
/// No more endpoints than this are compared for a request, to bound its cost.
const MAX_SUBSET: usize = 64;

/// The endpoints in and next to a subset, as a multiple of its size.
pub(crate) const NEIGHBORHOOD: usize = 2;

/// The size of a node's subset, and what bounds it.
pub(crate) struct Subset {
    /// Connections that this node and all others may keep to each endpoint, for the price of
    /// connections.
    affordable_connections: f64,
    node_count: f64,
    /// How often an endpoint is to be sent a request within the window.
    sends_per_window: f64,
    window: Seconds,
    /// Own attempts.
    sent: DecayingRate,
}

impl Subset {
    /// Returns the subset before the first send.
    pub(crate) fn new(settings: &Settings) -> Self {
        let sightings_per_send = if settings.loads_are_polled() {
            SIGHTINGS_PER_SEND_WITH_CHECKS
        } else {
            1.0
        };
        let window = settings.rate_window();
        Subset {
            affordable_connections: PRICED_CONNECTIONS * CONNECTION_BUDGET
                / settings.cost_weights.connections,
            node_count: f64::from(settings.node_count),
            sends_per_window: SIGHTINGS / sightings_per_send,
            window,
            sent: DecayingRate::new(window),
        }
    }

    /// Records an attempt that was sent.
    pub(crate) fn record_send(&mut self, now: Duration) {
        self.sent.add(now, 1.0);
    }

    /// Returns how many of the ready endpoints to use: as many as are affordable and as own traffic
    /// keeps in view, but no fewer than requests in flight on average (Little's law) and some to
    /// spare.
    pub(crate) fn size(&self, ready: usize, mean_response_time: Seconds, now: Duration) -> usize {
        let rate = self.sent.per_second(now);
        let affordable = self.affordable_connections * ready as f64 / self.node_count;
        let sends = (rate * self.window.as_f64()).max(MIN_IN_VIEW * SIGHTINGS);
        let in_view = sends / self.sends_per_window;
        let busy_at_once = rate * mean_response_time.as_f64();
        let size = affordable.min(in_view).max(SPARE + busy_at_once);
        (size as usize).min(MAX_SUBSET)
    }
}
