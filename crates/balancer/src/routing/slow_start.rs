//! Slow start: the load on an endpoint that has just started is limited to a multiple of its
//! guaranteed capacity (settings keys `ColdFrom`, `RampTime`, `OverloadFactor` and `TipAfter`).
//!
//! The rules guarantee a fraction of the full capacity at each age of an endpoint. They permit a
//! load above the capacity: the endpoint fails only if the load exceeds [`Rules::overload_factor`]
//! times its capacity for as long as [`Rules::overload_window`]. The load is therefore limited to
//! [`load_factor`] times the guaranteed capacity.
//!
//! During slow start, an endpoint is sent one request per permit. The rate of permits is the
//! product of three factors: the load factor, the guaranteed fraction of the capacity, and the rate
//! at which this node may use an endpoint of full capacity. A node does not know the capacity of
//! endpoints, so for the last factor it uses the peak rate at which a warm endpoint has served this
//! node. This is assumed to be a cautious estimate: a warm endpoint serves all nodes together at
//! less than its capacity, so the rates of all nodes add up to less than the capacity.
//!
//! All rates are work per second, in units of the mean work of a request. A permit stands for one
//! unit, although the request that uses it may be lighter or heavier, up to a maximum.
//!
//! Permits are drawn at random and expire soon; otherwise hundreds of quiet nodes could accumulate
//! permits and spend them in one burst.

use crate::endpoints::{Endpoint, EndpointSet, Permit};
use crate::estimates::WarmEndpointRate;
use crate::numeric::Random;
use crate::routing::starting_capacity::StartingCapacity;
use crate::routing::subset::NEIGHBORHOOD_FACTOR;
use crate::settings::Rules;
use crate::{EndpointId, Settings};
use std::time::Duration;

/// The fraction of the rules' overload factor that is used. The rest is a reserve for random
/// variation and for endpoints that lag behind.
const USED_FRACTION_OF_OVERLOAD_FACTOR: f64 = 0.6;
/// The maximum load factor. A higher one would overload an endpoint without benefit.
const MAX_LOAD_FACTOR: f64 = 1.6;
/// The maximum work of a request that is sent to an endpoint in slow start, in units of the mean
/// work of a request.
const MAX_RELATIVE_WORK: f64 = 2.0;

/// Returns the load to put on an endpoint in slow start, as a multiple of its guaranteed capacity.
pub(crate) fn load_factor(rules: &Rules) -> f64 {
    (rules.overload_factor * USED_FRACTION_OF_OVERLOAD_FACTOR).min(MAX_LOAD_FACTOR)
}

/// Draws the permits of endpoints in slow start.
pub(crate) struct SlowStart {
    capacity: StartingCapacity,
    /// The load on an endpoint in slow start, as a multiple of its guaranteed capacity.
    load_factor: f64,
    permit_lifetime: Duration,
    /// The work per second that a warm endpoint serves for this node, in units of the mean work of
    /// a request.
    warm_endpoint_rate: WarmEndpointRate,
}

impl SlowStart {
    /// Returns the state before any permit is drawn.
    pub(crate) fn new(settings: &Settings) -> Self {
        let rules = &settings.rules;
        SlowStart {
            capacity: StartingCapacity::new(rules),
            load_factor: load_factor(rules),
            permit_lifetime: rules.overload_window / 2,
            warm_endpoint_rate: WarmEndpointRate::new(settings),
        }
    }

    /// Records that this node has started.
    pub(crate) fn start(&mut self, now: Duration) {
        self.warm_endpoint_rate.start(now);
    }

    /// Records work that has arrived, in units of the mean work of a request.
    pub(crate) fn record_arrival(&mut self, work: f64, now: Duration) {
        self.warm_endpoint_rate.record_arrival(work, now);
    }

    /// Records work that an endpoint has served, in units of the mean work of a request. Only that
    /// of warm endpoints counts.
    pub(crate) fn record_served(&mut self, endpoint: &Endpoint, work: f64, now: Duration) {
        if self.capacity.is_warm(endpoint, now) {
            self.warm_endpoint_rate.record_served(work, now);
        }
    }

    /// Returns whether the endpoint may be sent a request of this relative work: it is warm, or it
    /// has a permit and the request is not too heavy.
    pub(crate) fn allows(&self, endpoint: &Endpoint, relative_work: f64, now: Duration) -> bool {
        let has_permit = endpoint.permit.is_valid(now) && relative_work <= MAX_RELATIVE_WORK;
        self.capacity.is_warm(endpoint, now) || has_permit
    }

    /// Draws permits for the endpoints in slow start in the neighborhood of the subset.
    pub(crate) fn draw_permits(
        &mut self,
        endpoints: &mut EndpointSet,
        subset_size: usize,
        now: Duration,
        random: &mut Random,
    ) {
        let starting: Vec<EndpointId> = endpoints
            .ring()
            .take(NEIGHBORHOOD_FACTOR * subset_size)
            .filter(|endpoint| !self.capacity.is_warm(endpoint, now))
            .map(|endpoint| endpoint.entry.id)
            .collect();
        self.update_warm_endpoint_rate(endpoints, subset_size, now);
        for id in starting {
            let draw = random.uniform();
            let Some(endpoint) = endpoints.get_mut(id) else {
                continue;
            };
            let capacity_fraction = self.capacity.guaranteed_fraction(endpoint, now);
            let rate = self.load_factor * capacity_fraction * self.warm_endpoint_rate.peak();
            self.draw_permit(&mut endpoint.permit, rate, draw, now);
        }
    }

    /// Draws one permit. `rate` is the rate of permits per second. The probability to get a permit
    /// is that of at least one event of a Poisson process with this rate since the last draw:
    /// `1 - exp(-rate * elapsed)`. Time before the last permit lifetime does not count, since a
    /// permit from that time would have expired.
    fn draw_permit(&self, permit: &mut Permit, rate: f64, draw: f64, now: Duration) {
        let elapsed = permit
            .since_draw(now)
            .min(self.permit_lifetime)
            .as_secs_f64();
        let is_granted = draw < 1.0 - (-rate * elapsed).exp();
        permit.record_draw(is_granted, self.permit_lifetime, now);
    }

    /// Updates the estimate of the work that a warm endpoint serves for this node.
    fn update_warm_endpoint_rate(
        &mut self,
        endpoints: &EndpointSet,
        subset_size: usize,
        now: Duration,
    ) {
        let warm = endpoints
            .ring()
            .take(subset_size)
            .filter(|endpoint| self.capacity.is_warm(endpoint, now))
            .count();
        let used = subset_size.min(endpoints.ready_count());
        self.warm_endpoint_rate.update(warm, used, now);
    }
}
