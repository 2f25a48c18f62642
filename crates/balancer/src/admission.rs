//! Admission control: a request is rejected if no endpoint is likely to respond to it in time.
//!
//! Each endpoint is judged by its load level. A level is open while most attempts that started at
//! it are in time; an endpoint at a closed level admits almost no requests. Lateness that this
//! node's own load does not explain, since many nodes send to the same endpoints, lowers the share
//! of requests that is admitted at open levels, with higher priorities first.

use crate::Settings;
use crate::endpoints::Endpoint;
use crate::estimates::load_snapshot::{LoadSnapshot, is_idle};
use crate::health::observation::Timeliness;
use crate::numeric::{SMOOTHING, smooth};
use std::time::Duration;

/// The number of load levels: one for each whole number of requests at an endpoint. Higher loads
/// count as the highest level.
const LOAD_LEVELS: usize = 64;
/// The share of attempts in time from which a load level is open.
const MIN_IN_TIME_SHARE: f64 = 0.75;
/// The number of load levels, from 0 on, that are open at the start. Level 0 is always open.
const INITIALLY_OPEN_LEVELS: usize = 2;
/// The share of attempts in time that the closed load levels have at the start.
const INITIAL_SHARE_OF_CLOSED_LEVELS: f64 = 0.25;
/// The maximum admitted share. The part above 1 is a reserve for attempts that are late by chance.
const MAX_ADMITTED_SHARE: f64 = 2.0;
/// What each attempt in time adds to the admitted share. Each late attempt lowers the share by up
/// to the fraction [`SMOOTHING`] of its value ([`Admission::record_late`]). The maximum share is
/// therefore stable if seven of eight attempts are in time, and a share of 1, below which requests
/// are rejected, if seven of nine are.
const ADMITTED_SHARE_STEP: f64 = SMOOTHING * MAX_ADMITTED_SHARE / 7.0;
/// The minimum admitted share: 1/64. An overload ends only if almost no requests are sent.
const MIN_ADMITTED_SHARE: f64 = SMOOTHING * SMOOTHING;
/// The share of requests that probe an endpoint for the end of an overload: 1/16. They are admitted
/// at any load level if this node has no attempt in flight there. While the level is closed, only
/// their responses show that the overload has ended.
const OVERLOAD_PROBE_SHARE: f64 = SMOOTHING / 2.0;
/// The share of busy load reports below which endpoints count as mostly idle.
const MOSTLY_IDLE_BUSY_SHARE: f64 = 0.5;

/// Returns the load level of an endpoint with this load: the load, rounded to whole requests.
pub(crate) fn load_level(load: f64) -> usize {
    (load.round() as usize).min(LOAD_LEVELS - 1)
}

/// Returns whether a request declares too much work to be sent: at least its time left or, while
/// most endpoints are idle, at least twice its time left.
///
/// Declared work is not exact, so a request with more work than time left may still finish in time.
/// While most endpoints are busy, it would displace other requests.
pub(crate) fn has_too_much_work(
    declared_work: Option<Duration>,
    time_left: Duration,
    busy_share: f64,
) -> bool {
    let is_mostly_idle = busy_share < MOSTLY_IDLE_BUSY_SHARE;
    let work_limit = time_left * if is_mostly_idle { 2 } else { 1 };
    declared_work.unwrap_or_default() >= work_limit
}

/// A request as admission control sees it.
pub(crate) struct AdmissionRequest {
    /// Its priority as a multiple of the mean request's.
    pub priority: f64,
    /// Its random number in the range `[0, 1)`.
    pub draw: f64,
}

/// What a node has learned about the load at which endpoints respond in time.
pub(crate) struct Admission {
    node_count: f64,
    /// The shares of attempts in time, by the load level of the endpoint when they started.
    in_time_shares: [f64; LOAD_LEVELS],
    /// The share of requests that are admitted at open load levels; all if it is 1 or more.
    admitted_share: f64,
}

impl Admission {
    /// Returns a state that admits all requests at the initially open load levels.
    pub(crate) fn new(settings: &Settings) -> Self {
        let mut in_time_shares = [INITIAL_SHARE_OF_CLOSED_LEVELS; LOAD_LEVELS];
        in_time_shares[..INITIALLY_OPEN_LEVELS].fill(MIN_IN_TIME_SHARE);
        Admission {
            node_count: f64::from(settings.node_count.max(1)),
            in_time_shares,
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
        let is_overload_probe = endpoint.in_flight == 0 && request.draw < OVERLOAD_PROBE_SHARE;
        is_overload_probe
            || self.is_open(endpoint, loads) && self.admits_request(endpoint, loads, request)
    }

    /// Returns whether the load level of an endpoint is open. Level 0 always is.
    fn is_open(&self, endpoint: &Endpoint, loads: &LoadSnapshot) -> bool {
        let level = load_level(loads.estimate(endpoint));
        level == 0 || self.in_time_shares[level] >= MIN_IN_TIME_SHARE
    }

    /// Returns whether an endpoint at an open level admits this request. An endpoint that reports
    /// itself idle admits every request, since late attempts at other endpoints do not concern it.
    /// Others admit a request with probability `admitted_share ^ (1 / priority)`, at most 1.
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

    /// Records an attempt in time. It would have been in time at a lower load too, so it counts for
    /// its own and all lower levels, and with half the weight for the next higher level.
    fn record_in_time(&mut self, level: usize) {
        for share in &mut self.in_time_shares[..=level] {
            smooth(share, 1.0, SMOOTHING);
        }
        let next = &mut self.in_time_shares[(level + 1).min(LOAD_LEVELS - 1)];
        smooth(next, 1.0, SMOOTHING / 2.0);
        self.admitted_share = (self.admitted_share + ADMITTED_SHARE_STEP).min(MAX_ADMITTED_SHARE);
    }

    /// Records a late attempt. It would have been late at a higher load too, so it counts for its
    /// own and all higher levels. At level 0 load is not the cause, so it counts for no level.
    ///
    /// The admitted share falls in proportion to the part of the lateness that this node's own load
    /// does not explain, since the endpoint is unhealthy or other nodes send to it. All nodes are
    /// assumed to send equally, so `1 / node_count` of the load is this node's own, and at level 0
    /// none is. The load levels limit the node's own load.
    fn record_late(&mut self, level: usize) {
        let mut own_load_share = 0.0;
        if level > 0 {
            for share in &mut self.in_time_shares[level..] {
                smooth(share, 0.0, SMOOTHING);
            }
            own_load_share = 1.0 / self.node_count;
        }
        let reduced =
            self.admitted_share - self.admitted_share * SMOOTHING * (1.0 - own_load_share);
        self.admitted_share = reduced.max(MIN_ADMITTED_SHARE);
    }
}
