//! Admission control: a request is rejected when no endpoint is likely to respond to it in time.
//!
//! Endpoints are considered one by one. Each load level is open while most attempts that started at
//! it came back in time; an endpoint at a closed level admits nothing. Where endpoints do not look
//! loaded but respond late all the same, since many nodes send to them, only a share of requests is
//! admitted, the higher priorities first.

use crate::Settings;
use crate::endpoints::Endpoint;
use crate::estimates::load_snapshot::{LoadSnapshot, is_idle};
use crate::health::observation::Timeliness;
use crate::numeric::{SMOOTHING, smooth};
use std::time::Duration;

/// Loads from this many requests on are treated alike.
const LOAD_LEVELS: usize = 64;
/// The share of attempts in time from which a level is open.
const OPEN_FROM: f64 = 0.75;
/// The number of load levels, from 0 on, that are open at the start.
const INITIALLY_OPEN_LEVELS: usize = 2;
/// The share of attempts in time that is assumed at the start of the levels that are closed.
const INITIAL_CLOSED_SHARE: f64 = 0.25;
/// The highest admitted share: beyond 1 it is a reserve for attempts that are late by chance.
const MAX_ADMITTED_SHARE: f64 = 2.0;
/// What each attempt in time adds to the admitted share. At its maximum the share is steady with
/// seven of eight attempts in time, and at 1, where requests begin to be rejected, with seven of
/// nine.
const ADMITTED_SHARE_STEP: f64 = SMOOTHING * MAX_ADMITTED_SHARE / 7.0;
/// The lowest admitted share: an overload clears only when nearly nothing is sent.
const MIN_ADMITTED_SHARE: f64 = SMOOTHING * SMOOTHING;
/// The share of requests that an endpoint without attempts in flight always admits: nothing else
/// would tell that an overload has ended.
const ALWAYS_ADMITTED_SHARE: f64 = SMOOTHING / 2.0;
/// The share of busy load reports below which requests are sent that look as if they could not
/// finish in time: declared work is not exact.
const MOSTLY_IDLE: f64 = 0.5;

/// Returns the level of an endpoint's load.
pub(crate) fn load_level(load: f64) -> usize {
    (load.round() as usize).min(LOAD_LEVELS - 1)
}

/// Returns whether a request's declared work takes longer than it has time, even at an idle
/// endpoint.
pub(crate) fn cannot_finish_in_time(
    declared_work: Option<Duration>,
    time_left: Duration,
    busy_share: f64,
) -> bool {
    let tolerated = time_left * if busy_share < MOSTLY_IDLE { 2 } else { 1 };
    declared_work.unwrap_or_default() >= tolerated
}

/// A request as admission control sees it.
pub(crate) struct AdmissionRequest {
    /// Its priority as a multiple of the mean request's.
    pub priority: f64,
    /// Its random draw, from 0 up to but not including 1.
    pub draw: f64,
}

/// What a node has learned of the load at which endpoints respond in time.
pub(crate) struct Admission {
    node_count: f64,
    /// The share of attempts in time, by the endpoint's load level when they started.
    in_time: [f64; LOAD_LEVELS],
    /// The share of requests admitted to endpoints that do not look loaded.
    admitted_share: f64,
}

impl Admission {
    /// Returns a state that admits everything until attempts turn out late.
    pub(crate) fn new(settings: &Settings) -> Self {
        let mut in_time = [INITIAL_CLOSED_SHARE; LOAD_LEVELS];
        in_time[..INITIALLY_OPEN_LEVELS].fill(OPEN_FROM);
        Admission {
            node_count: f64::from(settings.node_count.max(1)),
            in_time,
            admitted_share: MAX_ADMITTED_SHARE,
        }
    }

    /// Returns whether an endpoint is likely to respond to a request in time.
    pub(crate) fn admits(
        &self,
        endpoint: &Endpoint,
        loads: &LoadSnapshot,
        request: &AdmissionRequest,
    ) -> bool {
        let is_always_admitted = endpoint.in_flight == 0 && request.draw < ALWAYS_ADMITTED_SHARE;
        is_always_admitted
            || self.is_open(endpoint, loads) && self.admits_request(endpoint, loads, request)
    }

    fn is_open(&self, endpoint: &Endpoint, loads: &LoadSnapshot) -> bool {
        let level = load_level(loads.estimate(endpoint));
        level == 0 || self.in_time[level] >= OPEN_FROM
    }

    /// Returns whether an endpoint at an open level admits this request. One that reports to be
    /// idle admits every request: that others were late elsewhere says nothing against it.
    fn admits_request(
        &self,
        endpoint: &Endpoint,
        loads: &LoadSnapshot,
        request: &AdmissionRequest,
    ) -> bool {
        let reports_idle = loads.reported(endpoint).is_some_and(is_idle);
        reports_idle || request.draw.powf(request.priority) <= self.admitted_share
    }

    /// Records the end of an attempt that started at this load level.
    pub(crate) fn record(&mut self, timeliness: Timeliness, level: usize) {
        match timeliness {
            Timeliness::InTime => self.record_in_time(level),
            Timeliness::Late => self.record_late(level),
        }
    }

    /// Records an attempt in time. It would have been in time at a lower load too, and speaks, with
    /// less weight, for the next higher level.
    fn record_in_time(&mut self, level: usize) {
        for share in &mut self.in_time[..=level] {
            smooth(share, 1.0, SMOOTHING);
        }
        let next = &mut self.in_time[(level + 1).min(LOAD_LEVELS - 1)];
        smooth(next, 1.0, SMOOTHING / 2.0);
        self.admitted_share = (self.admitted_share + ADMITTED_SHARE_STEP).min(MAX_ADMITTED_SHARE);
    }

    /// Records a late attempt. It would have been late at a higher load too. The admitted share
    /// falls for the part of the load that is not this node's own: the endpoint is unhealthy, or
    /// other nodes load it. The part that is this node's own has closed a level.
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
