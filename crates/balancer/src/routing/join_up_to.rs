//! Join-Up-To(m), the ordinary path of every request ("Join-Up-To(m): Improved Hyper-scalable Load
//! Balancing").
//!
//! A node counts its own sends to each endpoint since that endpoint last showed idle. It sends to
//! the lowest count below m, ties broken at random, and to any endpoint at random once all have
//! reached m.

use crate::endpoints::Endpoint;
use crate::estimates::load_snapshot::{LoadSnapshot, MIN_BUSY_SHARE, is_idle};
use crate::numeric::{SLOW_SMOOTHING, smooth};
use crate::{EndpointId, Settings};
use std::time::Duration;

/// What remains of the counted sends and idle signals at each send: the last 500 or so decide on m.
const RETAINED_PER_SEND: f64 = 0.998;

/// The algorithm's state beside the counts.
pub(crate) struct JoinUpTo {
    /// Own sends, forgotten slowly.
    sends: f64,
    /// Idle signals, forgotten slowly.
    idle_signals: f64,
    /// The share of load reports that were not idle.
    busy_share: f64,
    /// Whether idle signals from health checks expire, since other nodes may have sent since.
    idle_signals_expire: bool,
}

impl JoinUpTo {
    /// Returns the state before the first send.
    pub(crate) fn new(settings: &Settings) -> Self {
        JoinUpTo {
            sends: 1.0,
            idle_signals: 1.0,
            busy_share: 0.5,
            idle_signals_expire: settings.loads_are_polled() && settings.node_count > 1,
        }
    }

    /// Returns the share of load reports that were not idle.
    pub(crate) fn busy_share(&self) -> f64 {
        self.busy_share
    }

    /// Returns the endpoint with the lowest count strictly below m, if there is one. `draw`, from 0
    /// to 1, breaks ties.
    pub(crate) fn lowest_below_cap(
        &self,
        candidates: &[&Endpoint],
        loads: &LoadSnapshot,
        draw: f64,
    ) -> Option<EndpointId> {
        let cap = self.cap();
        let counts: Vec<u32> = candidates
            .iter()
            .map(|endpoint| self.count(endpoint, loads, cap))
            .collect();
        let lowest = *counts.iter().min().filter(|count| **count < cap)?;
        let ties: Vec<&Endpoint> = candidates
            .iter()
            .zip(counts)
            .filter(|(_, count)| *count == lowest)
            .map(|(endpoint, _)| *endpoint)
            .collect();
        pick_at_random(&ties, draw)
    }

    /// Returns the count of an endpoint; m if its idle signal has expired.
    fn count(&self, endpoint: &Endpoint, loads: &LoadSnapshot, cap: u32) -> u32 {
        let is_fresh = |at| loads.is_fresh(at);
        if self.idle_signals_expire && !endpoint.sends.idle_at().is_some_and(is_fresh) {
            cap
        } else {
            endpoint.sends.since_idle()
        }
    }

    /// Returns the cap m of Theorem 6 of the paper for exponential job sizes, from own sends per
    /// idle signal (its lambda / delta) and the share of reports that were not idle (its lambda).
    fn cap(&self) -> u32 {
        let sends_per_signal = self.sends / self.idle_signals;
        let busy_share = self.busy_share.max(MIN_BUSY_SHARE);
        // The positive root of x^2 + 2 * half_linear_term * x = 2 * sends_per_signal.
        let half_linear_term = 0.5 + sends_per_signal * (1.0 - self.busy_share) / busy_share;
        let best = ((half_linear_term * half_linear_term + 2.0 * sends_per_signal).sqrt()
            - half_linear_term)
            .ceil();
        best.min(sends_per_signal.floor()).max(1.0) as u32
    }

    /// Records an attempt that was sent to this endpoint.
    pub(crate) fn record_send(&mut self, endpoint: &mut Endpoint) {
        endpoint.sends.increment();
        self.sends = self.sends * RETAINED_PER_SEND + 1.0;
        self.idle_signals *= RETAINED_PER_SEND;
    }

    /// Records a load report. An idle one that came with a served response or health check resets
    /// the count; own attempts that are still in flight there stay in it.
    pub(crate) fn record_report(
        &mut self,
        endpoint: &mut Endpoint,
        load: f64,
        served: bool,
        now: Duration,
    ) {
        let busy = if is_idle(load) { 0.0 } else { 1.0 };
        smooth(&mut self.busy_share, busy, SLOW_SMOOTHING);
        if !(is_idle(load) && served) {
            return;
        }
        if endpoint.sends.reset(endpoint.in_flight, now) {
            self.idle_signals += 1.0;
        }
    }
}

/// Returns one of the endpoints; `draw`, from 0 up to but not including 1, says which.
pub(crate) fn pick_at_random(candidates: &[&Endpoint], draw: f64) -> Option<EndpointId> {
    let index = (draw * candidates.len() as f64) as usize;
    candidates.get(index).map(|endpoint| endpoint.entry.id)
}
