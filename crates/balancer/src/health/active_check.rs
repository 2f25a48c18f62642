//! Active health checks that ask endpoints for their load (settings keys `LoadReport.Via: pull` and
//! `Permissions.Probes`): for which requests they are sent, and how long a request waits for their
//! results at most.

use crate::endpoints::EndpointSet;
use crate::estimates::load_snapshot::MIN_BUSY_SHARE;
use crate::numeric::{Random, Seconds};
use crate::requests::PendingRequest;
use crate::{Action, EndpointId, Settings};
use std::time::Duration;

/// The maximum number of health checks for one request. The less loaded of two random endpoints is
/// nearly as good as the least loaded of all.
const CHECKS_PER_REQUEST: u32 = 2;
/// How long a request waits for the results of health checks at most, as a fraction of the mean
/// response time. An endpoint that takes longer to answer a health check is a poor choice.
const MAX_QUEUE_TIME_IN_RESPONSE_TIMES: f64 = 1.0 / 16.0;
/// The lower bound of this maximum wait, in ticks.
const MAX_QUEUE_TIME_LOWER_BOUND_TICKS: u32 = 4;
/// The lower bound on the time left that the work of a request is divided by.
const MIN_TIME_LEFT: Seconds = Seconds::new(1e-6);

/// Decides on health checks, and counts those in flight.
pub(crate) struct ActiveChecks {
    /// The cost of one health check, in units of the mean request.
    cost: f64,
    weight_by_work: bool,
    tick: Duration,
    in_flight: u32,
}

impl ActiveChecks {
    /// Returns a state with no health check in flight.
    pub(crate) fn new(settings: &Settings) -> Self {
        ActiveChecks {
            cost: settings.cost_weights.health_check,
            weight_by_work: settings.weight_by_work,
            tick: settings.tick,
            in_flight: 0,
        }
    }

    /// Returns whether the expected benefit of health checks for a request is at least their cost,
    /// both in units of the mean request.
    ///
    /// The benefit follows from a rough model. Without health checks, a request reaches a busy
    /// endpoint with probability `busy_share`, which counts as at least [`MIN_BUSY_SHARE`], so that
    /// a share of 0 does not make the benefit 0. At a busy endpoint, the request is assumed to be
    /// late with probability `work / time_left`, at most 1. Health checks are assumed to avoid all
    /// of this risk if any checked endpoint is not busy, and half of it if all are busy.
    /// `mean_work` is the mean work of a request.
    pub(crate) fn benefit_covers_cost(
        &self,
        request: &PendingRequest,
        busy_share: f64,
        mean_work: Seconds,
        now: Duration,
    ) -> bool {
        let busy = busy_share.max(MIN_BUSY_SHARE);
        let work = mean_work * request.relative_work;
        let time_left = Seconds::from(request.deadline.saturating_sub(now)).max(MIN_TIME_LEFT);
        let late_if_busy = (work / time_left).min(1.0);
        let avoided = 1.0 - busy.powi(CHECKS_PER_REQUEST as i32) / 2.0;
        let benefit = self.weight(request) * busy * late_if_busy * avoided;
        benefit >= f64::from(CHECKS_PER_REQUEST) * self.cost
    }

    /// Returns the weight of a request in the objective, in units of the mean request.
    fn weight(&self, request: &PendingRequest) -> f64 {
        if self.weight_by_work {
            request.priority * request.relative_work
        } else {
            request.priority
        }
    }

    /// Sends health checks to up to [`CHECKS_PER_REQUEST`] of the targets, selected at random.
    /// Returns whether any health check is in flight now. One that was sent for an earlier request
    /// counts too: when a health check ends, all queued requests are routed again.
    pub(crate) fn start(
        &mut self,
        mut targets: Vec<EndpointId>,
        endpoints: &mut EndpointSet,
        random: &mut Random,
        actions: &mut Vec<Action>,
    ) -> bool {
        for _ in 0..CHECKS_PER_REQUEST {
            let index = (random.uniform() * targets.len() as f64) as usize;
            if index >= targets.len() {
                break;
            }
            let target = targets.remove(index);
            if let Some(endpoint) = endpoints.get_mut(target) {
                endpoint.check_in_flight = true;
            }
            self.in_flight += 1;
            actions.push(Action::HealthCheck { endpoint: target });
        }
        self.in_flight > 0
    }

    /// Returns how long a request waits for the results of health checks at most.
    pub(crate) fn max_queue_time(&self, mean_response_time: Seconds) -> Duration {
        let queue_time = mean_response_time * MAX_QUEUE_TIME_IN_RESPONSE_TIMES;
        queue_time
            .to_duration()
            .max(MAX_QUEUE_TIME_LOWER_BOUND_TICKS * self.tick)
    }

    /// Records the end of a health check. Returns whether it was the last one in flight.
    pub(crate) fn record_end(&mut self) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.in_flight == 0
    }
}
