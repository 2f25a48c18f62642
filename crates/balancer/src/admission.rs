//! Admission control: a request is shed when no endpoint is likely to answer it in time.
//!
//! Endpoints are asked one by one. Each load level is open while most attempts that started at it
//! came back in time; an endpoint at a closed level admits nothing. Where endpoints do not look
//! loaded but answer late all the same, since many nodes send to them, only a share of requests is
//! admitted, the higher priorities first.

use crate::Settings;
use crate::endpoints::Endpoint;
use crate::estimates::load_snapshot::{FreshLoads, is_idle};
use crate::health::observation::Timeliness;
use crate::numeric::{SMOOTHING, smooth};
use std::time::Duration;

/// Loads from this many requests on are treated alike.
const LOAD_LEVELS: usize = 64;
/// A level is open if this share of its attempts was in time.
const OPEN_ABOVE: f64 = 0.75;
/// At the start only the levels below this one are open.
const INITIALLY_OPEN: usize = 2;
/// The share of attempts in time that is assumed of the others.
const INITIAL_CLOSED_SHARE: f64 = 0.25;
/// The admitted share rises by this with each attempt in time. It is steady at seven in eight in
/// time.
const ADMITTED_SHARE_STEP: f64 = SMOOTHING * 2.0 / 7.0;
/// What the admitted share is at most: beyond 1 it is a reserve for chance misses.
const MAX_ADMITTED_SHARE: f64 = 2.0;
/// What the admitted share is at least: an overload clears only when left alone.
const MIN_ADMITTED_SHARE: f64 = SMOOTHING * SMOOTHING;
/// The share of requests that idle-looking endpoints are sent in any case: nothing else would tell
/// of better times.
const TRIAL_SHARE: f64 = SMOOTHING / 2.0;
/// While fewer load reports than this are busy, requests may try that look hopeless: declared work
/// is not exact.
const MOSTLY_IDLE: f64 = 0.5;

/// The load level of an endpoint.
pub fn load_level(load: f64) -> usize {
    (load.round() as usize).min(LOAD_LEVELS - 1)
}

/// Whether a request's declared work takes longer than it has time, even at an idle endpoint.
pub fn is_hopeless(declared_work: Option<Duration>, time_left: Duration, busy_share: f64) -> bool {
    let tolerated = time_left * if busy_share < MOSTLY_IDLE { 2 } else { 1 };
    declared_work.unwrap_or_default() >= tolerated
}

/// What a node has learned of the load at which endpoints answer in time.
pub struct Admission {
    node_count: f64,
    /// The share of attempts answered in time, by the endpoint's load level when they started.
    in_time: [f64; LOAD_LEVELS],
    /// The share of requests admitted to endpoints that do not look loaded.
    admitted_share: f64,
}

impl Admission {
    /// Admits everything until attempts turn out late.
    pub fn new(settings: &Settings) -> Self {
        let mut in_time = [INITIAL_CLOSED_SHARE; LOAD_LEVELS];
        in_time[..INITIALLY_OPEN].fill(OPEN_ABOVE);
        Admission {
            node_count: f64::from(settings.node_count.max(1)),
            in_time,
            admitted_share: MAX_ADMITTED_SHARE,
        }
    }

    /// Whether an endpoint is likely to answer a request in time; `draw` is the request's random
    /// draw.
    pub fn admits(
        &self,
        endpoint: &Endpoint,
        loads: &FreshLoads,
        priority: f64,
        draw: f64,
    ) -> bool {
        let trial = endpoint.in_flight == 0 && draw < TRIAL_SHARE;
        trial
            || self.is_open(endpoint, loads) && self.admits_request(endpoint, loads, priority, draw)
    }

    fn is_open(&self, endpoint: &Endpoint, loads: &FreshLoads) -> bool {
        let level = load_level(loads.estimate(endpoint));
        level == 0 || self.in_time[level] >= OPEN_ABOVE
    }

    /// An endpoint that reports to be idle admits every request: that others were late elsewhere
    /// says nothing against it.
    fn admits_request(
        &self,
        endpoint: &Endpoint,
        loads: &FreshLoads,
        priority: f64,
        draw: f64,
    ) -> bool {
        let reports_idle = loads.reported(endpoint).is_some_and(is_idle);
        reports_idle || draw.powf(priority) <= self.admitted_share
    }

    /// An attempt that started at this load level has ended.
    pub fn record(&mut self, timeliness: Timeliness, level: usize) {
        match timeliness {
            Timeliness::InTime => self.record_in_time(level),
            Timeliness::Late => self.record_late(level),
        }
    }

    /// What is in time at a load is so at a lower one, and a little more load is given its chance.
    fn record_in_time(&mut self, level: usize) {
        for share in &mut self.in_time[..=level] {
            smooth(share, 1.0, SMOOTHING);
        }
        let next = &mut self.in_time[(level + 1).min(LOAD_LEVELS - 1)];
        smooth(next, 1.0, SMOOTHING / 2.0);
        self.admitted_share = (self.admitted_share + ADMITTED_SHARE_STEP).min(MAX_ADMITTED_SHARE);
    }

    /// What is late at a load is so at a higher one. Other nodes load the endpoint as well, or it
    /// is unhealthy; the part of it that is this node's own load has closed a level.
    fn record_late(&mut self, level: usize) {
        let mut own_part = 0.0;
        if level > 0 {
            for share in &mut self.in_time[level..] {
                smooth(share, 0.0, SMOOTHING);
            }
            own_part = 1.0 / self.node_count;
        }
        let reduced = self.admitted_share - self.admitted_share * SMOOTHING * (1.0 - own_part);
        self.admitted_share = reduced.max(MIN_ADMITTED_SHARE);
    }
}
