//! Rejections of requests that are not passed to the driver, and the responses to them.

use super::request_error::RequestError;
use super::response::{self, FullResponse};
use std::time::Duration;

/// Why a request is rejected without being passed to the driver.
pub(super) enum Rejection {
    /// The request does not follow the protocol, or was not read in time.
    Invalid(RequestError),
    /// The node cannot serve the request now: there is no memory for its body, its connection is
    /// evicted, or the shutdown has reached the phase that sheds requests.
    Shed {
        /// The time after which the client may retry, if it is given one.
        retry_after: Option<Duration>,
    },
}

impl Rejection {
    /// Returns whether the connection can carry another request. After an invalid request it is
    /// unknown where the next one begins.
    pub(super) fn keeps_connection(&self) -> bool {
        match self {
            Rejection::Invalid(_) => false,
            Rejection::Shed { .. } => true,
        }
    }

    /// Converts the rejection to the response that the client gets.
    pub(super) fn into_response(self) -> FullResponse {
        match self {
            Rejection::Invalid(error) => response::with_text(error.status(), error.to_string()),
            Rejection::Shed { retry_after } => response::service_unavailable(retry_after),
        }
    }
}

impl From<RequestError> for Rejection {
    /// Rejects the request as invalid.
    fn from(error: RequestError) -> Self {
        Rejection::Invalid(error)
    }
}
