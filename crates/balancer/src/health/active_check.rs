//! Active health checks that ask endpoints for their load (settings keys `LoadReport.Via: pull` and
//! `Permissions.Probes`): which requests are worth them, and how long a request is queued for them.

use crate::endpoints::EndpointSet;
use crate::estimates::load_snapshot::MIN_BUSY_SHARE;
use crate::numeric::{Random, Seconds};
use crate::requests::PendingRequest;
use crate::{Action, EndpointId, Settings};
use std::time::Duration;

/// The health checks for one request: the better of two random endpoints is nearly as good as the
/// best of all.
const CHECKS_PER_REQUEST: u32 = 2;
/// How long a request is queued for health checks, as a fraction of the mean response time. An
/// endpoint that takes longer over a health check is a poor choice.
const MAX_QUEUE_TIME_IN_RESPONSES: f64 = 1.0 / 16.0;
/// The least time for which a request is queued, in ticks.
const MIN_QUEUE_TICKS: u32 = 4;
/// The least time left that the work of a request is compared with.
const MIN_TIME_LEFT: Seconds = Seconds::new(1e-6);

/// The health checks in flight, and what decides on further ones.
pub(crate) struct ActiveChecks {
    /// The price of one health check for each request, as a fraction of the service.
    price: f64,
    weight_by_work: bool,
    tick: Duration,
    in_flight: u32,
}

impl ActiveChecks {
    /// Returns a state with no health check in flight.
    pub(crate) fn new(settings: &Settings) -> Self {
        ActiveChecks {
            price: settings.cost_weights.health_check,
            weight_by_work: settings.weight_by_work,
            tick: settings.tick,
            in_flight: 0,
        }
    }

    /// Returns whether health checks for a request save more than they cost, both in units of the
    /// mean request.
    ///
    /// Sent without them, a request meets a busy endpoint as often as there are such, and is late
    /// the likelier for it the more of its time its own work takes. Health checks avoid that, or
    /// half of it where all the endpoints asked are busy. `mean_work` is the mean work of a
    /// request.
    pub(crate) fn are_worth_it(
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
        let saved = self.weight(request) * busy * late_if_busy * avoided;
        saved >= f64::from(CHECKS_PER_REQUEST) * self.price
    }

    /// Returns what a request counts for, in units of the mean request.
    fn weight(&self, request: &PendingRequest) -> f64 {
        if self.weight_by_work {
            request.priority * request.relative_work
        } else {
            request.priority
        }
    }

    /// Sends health checks to some of the targets. Returns whether any health check is in flight
    /// now.
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

    /// Returns how long a request is queued for health checks.
    pub(crate) fn max_queue_time(&self, mean_response_time: Seconds) -> Duration {
        let queue_time = mean_response_time * MAX_QUEUE_TIME_IN_RESPONSES;
        queue_time.to_duration().max(MIN_QUEUE_TICKS * self.tick)
    }

    /// Records the end of a health check. Returns whether it was the last one in flight.
    pub(crate) fn record_end(&mut self) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.in_flight == 0
    }
}
