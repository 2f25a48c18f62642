//! Health checks: requests that ask an endpoint for its load report, or only whether it is alive if
//! endpoints report no load.

use crate::message::CompletedHealthCheck;
use crate::upstream::response::{ExchangeResult, outcome_of_error};
use crate::upstream::{Upstream, request};
use ottertiller_balancer::{EndpointId, LoadReport, Outcome};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// The time limit of a health check. The result of a slower one would be out of date.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// The path of an endpoint's load report.
const STATS_PATH: &str = "/stats";
/// The path that an endpoint serves while it is alive.
const LIVENESS_PATH: &str = "/health/live";

impl Upstream {
    /// Checks an endpoint's health. `started_at` is when the balancer decided on the check, on the
    /// node's clock.
    pub(crate) async fn check_health(
        self: Rc<Self>,
        endpoint: EndpointId,
        started_at: Duration,
    ) -> CompletedHealthCheck {
        let exchange = timeout(HEALTH_CHECK_TIMEOUT, self.exchange_health_check(endpoint)).await;
        let result = exchange.unwrap_or(ExchangeResult::without_response(Outcome::TimedOut));
        let load_report = self.report_of_health_check(&result);
        CompletedHealthCheck {
            endpoint,
            outcome: result.outcome,
            started_at,
            load_report,
        }
    }

    /// Sends the request of a health check and reads the response.
    async fn exchange_health_check(&self, endpoint: EndpointId) -> ExchangeResult {
        let mut connection = match self.pool.checkout(endpoint).await {
            Ok(connection) => connection,
            Err(error) => return ExchangeResult::without_response(error.outcome()),
        };
        let Some(address) = self.pool.destination(&connection) else {
            return ExchangeResult::without_response(Outcome::NotSent);
        };
        let path = if self.load_reports.is_enabled() {
            STATS_PATH
        } else {
            LIVENESS_PATH
        };
        let request = request::health_check(path, address);
        let response = match connection.sender.send_request(request).await {
            Ok(response) => response,
            Err(error) => return ExchangeResult::without_response(outcome_of_error(&error)),
        };
        let received = self.read_response(connection, response).await;
        if let Some(connection) = received.connection {
            // If the check finds the endpoint idle, a request usually follows at once, on this
            // connection.
            self.pool.release_without_cooldown(connection);
        }
        received.result
    }

    /// Returns the load report of a health check. The report in the body is preferred, because it
    /// is more complete than the one in the headers.
    fn report_of_health_check(&self, result: &ExchangeResult) -> Option<LoadReport> {
        let in_body = result
            .body
            .as_ref()
            .and_then(|body| self.load_reports.parse_body(body));
        in_body.or(result.load_report)
    }
}
