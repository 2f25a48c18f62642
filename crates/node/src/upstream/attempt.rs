//! Attempts: sending a request to one endpoint, until it responds, the attempt fails or it is
//! stopped.

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

/// The most connections in a row that may turn out broken before the request was written to them.
const MAX_BROKEN_CONNECTIONS: usize = 4;

/// A connection broke before a byte of the request was written to it: the request may go out on
/// another one.
struct BrokenBeforeWrite;

/// An attempt to be made.
pub(crate) struct Attempt {
    /// The attempt.
    pub id: AttemptId,
    /// Where it goes.
    pub endpoint: EndpointId,
    /// When the node stops waiting for it, on the node's clock.
    pub expires_at: Duration,
    /// What is sent.
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
            // The exchange is dropped, and its connection closes.
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

    /// Sends the request and reads the response, on another connection if one breaks before
    /// anything was written to it; `written` is true while the endpoint may have got any of it.
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
        // Time has passed since the decision: what was permitted then may not be any more.
        let Some(request) = self.permitted_request(attempt, &connection) else {
            self.pool.release(connection);
            return Ok(ExchangeResult::without_response(Outcome::NotSent));
        };
        written.set(true);
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok(self.receive(connection, response).await),
            Err(error) => result_of_send_error(error, written),
        }
    }

    /// Reads the response, and gives the connection back to the pool if it can carry another
    /// request.
    async fn receive(
        &self,
        connection: Connection,
        response: Response<Incoming>,
    ) -> ExchangeResult {
        let received = self.read_response(connection, response).await;
        if let Some(connection) = received.connection {
            self.pool.release_after_response(connection);
        }
        received.result
    }

    /// Returns the request as it is to be written now, if it still may be.
    fn permitted_request(
        &self,
        attempt: &Attempt,
        connection: &Connection,
    ) -> Option<Request<Full<Bytes>>> {
        let destination = self.pool.destination(connection)?;
        attempt.prepare_request(self.clock.now(), destination)
    }
}

/// Returns how an attempt ended whose request could not be sent, or got no response.
///
/// An error that gives the request back means that not a byte of it was written.
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

/// Returns how an attempt ended that was stopped. The reason is missing if the driver has forgotten
/// the attempt.
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
