//! Join-Up-To(m), the algorithm that selects an endpoint for every request ("Join-Up-To(m):
//! Improved Hyper-scalable Load Balancing").
//!
//! A node counts its own sends to each endpoint since the last idle signal of that endpoint. It
//! selects the endpoint with the lowest count, with ties broken at random. Once all counts have
//! reached the cap m, it selects any endpoint at random.

use crate::endpoints::Endpoint;
use crate::estimates::load_snapshot::{LoadSnapshot, MIN_BUSY_SHARE, is_idle};
use crate::numeric::{SLOW_SMOOTHING, smooth};
use crate::{EndpointId, Settings};
use std::time::Duration;

/// The factor by which the totals of sends and idle signals decay at each send, so that about the
/// last 500 sends determine m.
const DECAY_PER_SEND: f64 = 0.998;

/// The state that the algorithm keeps for all endpoints together. The send counts are kept with
/// each endpoint.
pub(crate) struct JoinUpTo {
    /// The number of this node's sends, with exponential decay.
    sends: f64,
    /// The number of idle signals, with the same decay.
    idle_signals: f64,
    /// The share of load reports that were not idle.
    busy_share: f64,
    /// Whether an idle signal expires, since other nodes may have sent requests to the endpoint
    /// after the health check that showed it idle.
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

    /// Returns the endpoint with the lowest send count, if that count is below m. `draw`, a random
    /// number in the range `[0, 1)`, breaks ties.
    pub(crate) fn lowest_below_cap(
        &self,
        candidates: &[&Endpoint],
        loads: &LoadSnapshot,
        draw: f64,
    ) -> Option<EndpointId> {
        let cap = self.cap();
        let counts: Vec<u32> = candidates
            .iter()
            .map(|endpoint| self.send_count(endpoint, loads, cap))
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

    /// Returns the send count of an endpoint; m if its idle signal has expired.
    fn send_count(&self, endpoint: &Endpoint, loads: &LoadSnapshot, cap: u32) -> u32 {
        let is_fresh = |at| loads.is_fresh(at);
        if self.idle_signals_expire && !endpoint.sends.idle_at().is_some_and(is_fresh) {
            cap
        } else {
            endpoint.sends.since_idle()
        }
    }

    /// Returns the cap m by Theorem 6 of the paper, for exponentially distributed job sizes.
    ///
    /// The paper's lambda is the share of load reports that were not idle, and its lambda / delta
    /// is the number of own sends per idle signal.
    fn cap(&self) -> u32 {
        let sends_per_signal = self.sends / self.idle_signals;
        let busy_share = self.busy_share.max(MIN_BUSY_SHARE);
        // The positive root of x^2 + 2 * half_linear_term * x = 2 * sends_per_signal.
        let half_linear_term = 0.5 + sends_per_signal * (1.0 - self.busy_share) / busy_share;
        let optimal_cap = ((half_linear_term * half_linear_term + 2.0 * sends_per_signal).sqrt()
            - half_linear_term)
            .ceil();
        optimal_cap.min(sends_per_signal.floor()).max(1.0) as u32
    }

    /// Records an attempt that was sent to this endpoint.
    pub(crate) fn record_send(&mut self, endpoint: &mut Endpoint) {
        endpoint.sends.increment();
        self.sends = self.sends * DECAY_PER_SEND + 1.0;
        self.idle_signals *= DECAY_PER_SEND;
    }

    /// Records a load report. An idle report that came with a served response or health check
    /// resets the send count to the number of own attempts that are in flight there.
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

/// Returns one of the endpoints, or `None` if there is none. `draw`, a random number in the range
/// `[0, 1)`, determines which.
pub(crate) fn pick_at_random(candidates: &[&Endpoint], draw: f64) -> Option<EndpointId> {
    let index = (draw * candidates.len() as f64) as usize;
    candidates.get(index).map(|endpoint| endpoint.entry.id)
}
