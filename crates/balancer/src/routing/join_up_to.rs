//! Join-Up-To(m), the ordinary path of every request ("Join-Up-To(m): Improved Hyper-scalable Load
//! Balancing").
//!
//! A node counts its own sends to each endpoint since that endpoint last showed idle. It sends to
//! the lowest count below m, ties broken at random, and to any endpoint at random once all have
//! reached m.

use crate::endpoints::Endpoint;
use crate::estimates::load_snapshot::{FreshLoads, is_idle};
use crate::numeric::{SMOOTHING, smooth};
use crate::{EndpointId, Settings};
use std::time::Duration;

/// What remains of the counted sends and idle signs at each send: the last 500 or so decide on m.
const MEMORY: f64 = 0.998;

/// The algorithm's state beside the counts.
pub struct JoinUpTo {
    /// Own sends and idle signs, forgotten slowly.
    sends: f64,
    idle_signs: f64,
    /// The share of load reports that were not idle.
    busy_share: f64,
    /// Idle signs from health checks lapse where other nodes may have sent since.
    signs_lapse: bool,
}

impl JoinUpTo {
    /// Before the first send.
    pub fn new(settings: &Settings) -> Self {
        JoinUpTo {
            sends: 1.0,
            idle_signs: 1.0,
            busy_share: 0.5,
            signs_lapse: settings.loads_are_polled() && settings.node_count > 1,
        }
    }

    /// The share of load reports that were not idle.
    pub fn busy_share(&self) -> f64 {
        self.busy_share
    }

    /// The endpoint with the lowest count strictly below m; `draw` breaks ties.
    pub fn lowest_below_cap(
        &self,
        among: &[&Endpoint],
        loads: &FreshLoads,
        draw: f64,
    ) -> Option<EndpointId> {
        let cap = self.cap();
        let counts: Vec<u32> = among
            .iter()
            .map(|endpoint| self.count(endpoint, loads, cap))
            .collect();
        let lowest = *counts.iter().min().filter(|count| **count < cap)?;
        let with_count = among.iter().zip(counts);
        let ties: Vec<&Endpoint> = with_count
            .filter(|(_, count)| *count == lowest)
            .map(|(endpoint, _)| *endpoint)
            .collect();
        any(&ties, draw)
    }

    /// The count of an endpoint; m if its idle sign has lapsed.
    fn count(&self, endpoint: &Endpoint, loads: &FreshLoads, cap: u32) -> u32 {
        let sign_is_recent = || {
            endpoint
                .sends
                .idle_at()
                .is_some_and(|at| loads.is_recent(at))
        };
        if self.signs_lapse && !sign_is_recent() {
            cap
        } else {
            endpoint.sends.since_idle()
        }
    }

    /// The cap m of Theorem 6 of the paper for exponential job sizes, from own sends per idle sign
    /// (its lambda / delta) and the share of reports that were not idle (its lambda).
    fn cap(&self) -> u32 {
        let sends_per_sign = self.sends / self.idle_signs;
        let busy_share = self.busy_share.max(SMOOTHING);
        let half = 0.5 + sends_per_sign * (1.0 - self.busy_share) / busy_share;
        let best = ((half * half + 2.0 * sends_per_sign).sqrt() - half).ceil();
        best.min(sends_per_sign.floor()).max(1.0) as u32
    }

    /// An attempt was sent to this endpoint.
    pub fn record_send(&mut self, endpoint: &mut Endpoint) {
        endpoint.sends.increment();
        self.sends = self.sends * MEMORY + 1.0;
        self.idle_signs *= MEMORY;
    }

    /// A load report arrived. With a response, an idle one resets the count, but it is a late one
    /// if own attempts are still in flight there: those stay in the count.
    pub fn record_report(
        &mut self,
        endpoint: &mut Endpoint,
        load: f64,
        served: bool,
        now: Duration,
    ) {
        let busy = if is_idle(load) { 0.0 } else { 1.0 };
        smooth(&mut self.busy_share, busy, SMOOTHING / 8.0);
        if !(is_idle(load) && served) {
            return;
        }
        if endpoint.sends.reset(endpoint.in_flight, now) {
            self.idle_signs += 1.0;
        }
    }
}

/// Any one of them; `draw` between 0 and 1 says which.
pub fn any(among: &[&Endpoint], draw: f64) -> Option<EndpointId> {
    let index = (draw * among.len() as f64) as usize;
    among.get(index).map(|endpoint| endpoint.entry.id)
}
