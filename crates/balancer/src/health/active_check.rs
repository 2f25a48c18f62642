//! Active health checks that ask endpoints for their load (settings keys `LoadReport.Via: pull` and
//! `Permissions.Probes`): which requests are worth them, and which are held until they are
//! answered.

use crate::endpoints::EndpointSet;
use crate::numeric::{Random, SMOOTHING};
use crate::requests::PendingRequest;
use crate::{Action, EndpointId, Settings};
use std::time::Duration;

/// The health checks for one request: the better of two random endpoints is nearly as good as the
/// best of all.
const CHECKS_PER_REQUEST: u32 = 2;
/// The fraction of the mean response time that a request is held for them: an endpoint that answers
/// a health check later is no place to send to.
const MAX_HOLD_IN_RESPONSES: f64 = 1.0 / 16.0;

/// The health checks in flight, and what decides on further ones.
pub struct ActiveChecks {
    /// The price of one health check for each request, as a fraction of the service.
    price: f64,
    weight_by_work: bool,
    tick: Duration,
    in_flight: u32,
}

impl ActiveChecks {
    /// No health check in flight.
    pub fn new(settings: &Settings) -> Self {
        ActiveChecks {
            price: settings.cost_weights.health_check,
            weight_by_work: settings.weight_by_work,
            tick: settings.tick,
            in_flight: 0,
        }
    }

    /// Whether health checks for a request save more than they cost, both in units of the mean
    /// request. Sent without them, it meets a busy endpoint as often as there are such, and is late
    /// the likelier for it the more of its time its own work takes. Health checks spare it that, or
    /// half of it where all the endpoints asked are busy. `work_unit` is the mean work of a
    /// request, in seconds.
    pub fn are_worth_it(
        &self,
        request: &PendingRequest,
        busy_share: f64,
        work_unit: f64,
        now: Duration,
    ) -> bool {
        let busy = busy_share.max(SMOOTHING);
        let work = request.relative_work * work_unit;
        let time_left = request.deadline.saturating_sub(now).as_secs_f64().max(1e-6);
        let stake = request.priority
            * if self.weight_by_work {
                request.relative_work
            } else {
                1.0
            };
        let spared = 1.0 - busy.powi(CHECKS_PER_REQUEST as i32) / 2.0;
        let saved = stake * busy * (work / time_left).min(1.0) * spared;
        saved >= f64::from(CHECKS_PER_REQUEST) * self.price
    }

    /// Sends health checks to some of the targets. Returns whether any health check is in flight
    /// now.
    pub fn start(
        &mut self,
        mut targets: Vec<EndpointId>,
        endpoints: &mut EndpointSet,
        random: &mut Random,
        actions: &mut Vec<Action>,
    ) -> bool {
        for _ in 0..CHECKS_PER_REQUEST {
            let index = (random.unit() * targets.len() as f64) as usize;
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

    /// How long a held request waits for health checks.
    pub fn max_hold(&self, mean_response_time: f64) -> Duration {
        Duration::from_secs_f64(mean_response_time * MAX_HOLD_IN_RESPONSES).max(4 * self.tick)
    }

    /// A health check has ended. Returns whether it was the last one.
    pub fn record_end(&mut self) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.in_flight == 0
    }
}
