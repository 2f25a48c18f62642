//! Slow start: an endpoint that has just started is sent no more than its present capacity
//! allows (settings keys `ColdFrom`, `RampTime`, `OverloadFactor` and `TipAfter`).
//!
//! While it starts, an endpoint is sent one request for each permit. The responses of a warm
//! endpoint to all nodes add up to less than its capacity, so each node draws permits at a multiple
//! of the rate at which a warm endpoint serves it. Permits come at random and expire soon: what
//! hundreds of quiet nodes could save up would otherwise be spent in one burst.

use crate::endpoints::{Endpoint, EndpointSet, Permit};
use crate::estimates::WarmEndpointRate;
use crate::numeric::Random;
use crate::routing::starting_capacity::StartingCapacity;
use crate::routing::subset::NEIGHBORHOOD;
use crate::settings::Rules;
use crate::{EndpointId, Settings};
use std::time::Duration;

/// The part of the rule's overload factor that is used: the rest is for chance and endpoints that
/// lag behind.
const USED_OVERLOAD: f64 = 0.6;
/// The most that is used of it, as a multiple of the capacity that an endpoint has for certain:
/// more would overload it for nothing.
const MAX_OVERLOAD: f64 = 1.6;
/// The most relative work of a request that a starting endpoint is sent.
const MAX_RELATIVE_WORK: f64 = 2.0;

/// Returns the load on a starting endpoint, as a multiple of the capacity that it has for certain.
pub(crate) fn load_factor(rules: &Rules) -> f64 {
    (rules.overload_factor * USED_OVERLOAD).min(MAX_OVERLOAD)
}

/// Issues the permits of starting endpoints.
pub(crate) struct SlowStart {
    capacity: StartingCapacity,
    /// The load on a starting endpoint, as a multiple of its present capacity.
    load_factor: f64,
    permit_lifetime: Duration,
    /// The work that a warm endpoint serves for this node.
    share: WarmEndpointRate,
}

impl SlowStart {
    /// Returns a slow start that has issued no permits.
    pub(crate) fn new(settings: &Settings) -> Self {
        let rules = &settings.rules;
        SlowStart {
            capacity: StartingCapacity::new(rules),
            load_factor: load_factor(rules),
            permit_lifetime: rules.overload_window / 2,
            share: WarmEndpointRate::new(settings),
        }
    }

    /// Records that this node has started.
    pub(crate) fn start(&mut self, now: Duration) {
        self.share.start(now);
    }

    /// Records work that has arrived.
    pub(crate) fn record_arrival(&mut self, work: f64, now: Duration) {
        self.share.record_arrival(work, now);
    }

    /// Records work that an endpoint has served.
    pub(crate) fn record_served(&mut self, endpoint: &Endpoint, work: f64, now: Duration) {
        if self.capacity.is_full(endpoint, now) {
            self.share.record_served(work, now);
        }
    }

    /// Returns whether the endpoint may be sent a request of this relative work.
    pub(crate) fn allows(&self, endpoint: &Endpoint, relative_work: f64, now: Duration) -> bool {
        let has_permit = endpoint.permit.is_valid(now) && relative_work <= MAX_RELATIVE_WORK;
        self.capacity.is_full(endpoint, now) || has_permit
    }

    /// Draws permits for the starting endpoints in and next to the subset.
    pub(crate) fn draw_permits(
        &mut self,
        endpoints: &mut EndpointSet,
        subset_size: usize,
        now: Duration,
        random: &mut Random,
    ) {
        let starting: Vec<EndpointId> = endpoints
            .ring()
            .take(NEIGHBORHOOD * subset_size)
            .filter(|endpoint| !self.capacity.is_full(endpoint, now))
            .map(|endpoint| endpoint.entry.id)
            .collect();
        self.update_share(endpoints, subset_size, now);
        for id in starting {
            let draw = random.uniform();
            let Some(endpoint) = endpoints.get_mut(id) else {
                continue;
            };
            let rate = self.load_factor * self.capacity.at(endpoint, now) * self.share.peak();
            self.draw_permit(&mut endpoint.permit, rate, draw, now);
        }
    }

    /// Draws one permit, with the probability that a Poisson process of this rate has had an event
    /// since the last draw.
    fn draw_permit(&self, permit: &mut Permit, rate: f64, draw: f64, now: Duration) {
        let since = permit
            .since_draw(now)
            .min(self.permit_lifetime)
            .as_secs_f64();
        let is_won = draw < 1.0 - (-rate * since).exp();
        permit.record_draw(is_won, self.permit_lifetime, now);
    }

    /// Updates the estimate of what a warm endpoint serves for this node.
    fn update_share(&mut self, endpoints: &EndpointSet, subset_size: usize, now: Duration) {
        let warm = endpoints
            .ring()
            .take(subset_size)
            .filter(|endpoint| self.capacity.is_full(endpoint, now))
            .count();
        let sharing = subset_size.min(endpoints.ready_count());
        self.share.update(warm, sharing, now);
    }
}
