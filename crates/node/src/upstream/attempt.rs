//! Attempts: sending a request to one endpoint, until the endpoint responds, or the attempt fails
//! or is stopped.

use crate::message::{AttemptId, CompletedAttempt, StopReason, UpstreamRequest};
use crate::upstream::Upstream;
use crate::upstream::pool::Connection;
use crate::upstream::response::{ExchangeResult, outcome_of_error};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::{Request, Response};
use ottertiller_balancer::{EndpointId, Outcome};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::sync::oneshot::error::RecvError;

/// An attempt fails after this many connections in a row broke before its request was written to
/// them.
const MAX_BROKEN_CONNECTIONS: usize = 4;

/// The connection broke before any byte of the request was written to it, so the attempt may use
/// another connection.
struct BrokenBeforeWrite;

/// An attempt to be made.
pub(crate) struct Attempt {
    /// Identifies the attempt.
    pub id: AttemptId,
    /// The endpoint to which the request is sent.
    pub endpoint: EndpointId,
    /// When the node stops waiting for it, on the node's clock.
    pub expires_at: Duration,
    /// The request.
    pub upstream_request: Rc<UpstreamRequest>,
}

impl Upstream {
    /// Makes an attempt until it ends or is stopped, and returns how it ended.
    pub(crate) async fn run_attempt(
        self: Rc<Self>,
        attempt: Attempt,
        stop_signal: oneshot::Receiver<StopReason>,
    ) -> CompletedAttempt {
        let written = Cell::new(false);
        let result = tokio::select! {
            biased;
            result = self.exchange_attempt(&attempt, &written) => result,
            // Returning drops the exchange, which closes its connection.
            reason = stop_signal => {
                let outcome = outcome_of_stop(reason, written.get());
                ExchangeResult::without_response(outcome)
            }
        };
        CompletedAttempt {
            id: attempt.id,
            outcome: result.outcome,
            load_report: result.load_report,
            response_body: result.body,
        }
    }

    /// Sends the request and reads the response. Uses another connection if one breaks before any
    /// byte of the request was written to it.
    ///
    /// Keeps `written` true while the endpoint may have received a part of the request.
    async fn exchange_attempt(&self, attempt: &Attempt, written: &Cell<bool>) -> ExchangeResult {
        for _ in 0..MAX_BROKEN_CONNECTIONS {
            if let Ok(result) = self.exchange_once(attempt, written).await {
                return result;
            }
        }
        ExchangeResult::without_response(Outcome::ConnectFailed)
    }

    /// Sends the request on one connection and reads the response.
    async fn exchange_once(
        &self,
        attempt: &Attempt,
        written: &Cell<bool>,
    ) -> Result<ExchangeResult, BrokenBeforeWrite> {
        let mut connection = match self.pool.checkout(attempt.endpoint).await {
            Ok(connection) => connection,
            Err(error) => return Ok(ExchangeResult::without_response(error.outcome())),
        };
        let ready = connection.sender.ready().await;
        ready.map_err(|_| BrokenBeforeWrite)?;
        // Waiting for a connection took time: the attempt may no longer be permitted.
        let Some(request) = self.permitted_request(attempt, &connection) else {
            self.pool.release_without_cooldown(connection);
            return Ok(ExchangeResult::without_response(Outcome::NotSent));
        };
        written.set(true);
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok(self.receive(connection, response).await),
            Err(error) => result_of_send_error(error, written),
        }
    }

    /// Reads the response, and returns the connection to the pool if it can carry another request.
    async fn receive(
        &self,
        connection: Connection,
        response: Response<Incoming>,
    ) -> ExchangeResult {
        let received = self.read_response(connection, response).await;
        if let Some(connection) = received.connection {
            self.pool.release_with_cooldown(connection);
        }
        received.result
    }

    /// Returns the request to write now; `None` if it may no longer be written.
    fn permitted_request(
        &self,
        attempt: &Attempt,
        connection: &Connection,
    ) -> Option<Request<Full<Bytes>>> {
        let destination = self.pool.destination(connection)?;
        attempt.prepare_request(self.clock.now(), destination)
    }
}

/// Returns the result of an attempt whose request could not be sent, or got no response.
///
/// If the error contains the request, hyper has written no byte of it.
fn result_of_send_error(
    mut error: TrySendError<Request<Full<Bytes>>>,
    written: &Cell<bool>,
) -> Result<ExchangeResult, BrokenBeforeWrite> {
    if error.take_message().is_some() {
        written.set(false);
        return Err(BrokenBeforeWrite);
    }
    let outcome = outcome_of_error(error.error());
    Ok(ExchangeResult::without_response(outcome))
}

/// Returns the outcome of an attempt that was stopped. `reason` is an error if the driver dropped
/// its sender, because it no longer tracks the attempt.
fn outcome_of_stop(reason: Result<StopReason, RecvError>, written: bool) -> Outcome {
    if !written {
        return Outcome::NotSent;
    }
    match reason {
        Ok(StopReason::TimedOut) => Outcome::TimedOut,
        Ok(StopReason::Cancelled) | Err(_) => Outcome::Cancelled,
    }
}

#[cfg(test)]
mod tests;
