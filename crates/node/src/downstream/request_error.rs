//! The errors of invalid requests, with the statuses and texts that clients read.

use hyper::StatusCode;
use thiserror::Error;

/// Why a request is invalid. The text is the body of the response, and part of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum RequestError {
    /// The head has a Transfer-Encoding. With a Content-Length beside it, it may hide a second
    /// request in the body; no client of the service needs it.
    #[error("no Transfer-Encoding, please")]
    TransferEncoding,
    /// The length of the body is not known from the head.
    #[error("no length")]
    UnknownLength,
    /// The body is longer than the protocol allows.
    #[error("body over 64 KiB")]
    BodyTooLarge,
    /// The target is not a path.
    #[error("no path")]
    NoPath,
    /// The path names no class of requests.
    #[error("unknown class")]
    UnknownClass,
    /// A header that must be unique is repeated.
    #[error("a header stands twice")]
    RepeatedHeader,
    /// The class requires another method.
    #[error("wrong method for this class")]
    WrongMethod,
    /// A GET has a body.
    #[error("a body where none belongs")]
    UnexpectedBody,
    /// The class requires an Idempotency-Key.
    #[error("no Idempotency-Key")]
    MissingIdempotencyKey,
    /// There is no X-Call-Id, or its length is not allowed.
    #[error("no X-Call-Id")]
    InvalidCallId,
    /// There is no X-Budget-Ms, or it is not a number within the limits.
    #[error("no X-Budget-Ms that makes sense")]
    InvalidBudget,
    /// X-Caller names no tenant.
    #[error("unknown tenant")]
    UnknownTenant,
    /// The body did not arrive in time.
    #[error("too slow")]
    ReadTimeout,
    /// The body ended early or could not be read.
    #[error("broken body")]
    IncompleteBody,
    /// Another request with the same X-Call-Id is in flight.
    #[error("a request with this X-Call-Id is open")]
    CallInFlight,
    /// An earlier request with the same X-Call-Id may have run, and may still run.
    #[error("a request with this X-Call-Id may have run")]
    CallMayHaveRun,
}

impl RequestError {
    /// Returns the status of the response.
    pub(super) fn status(self) -> StatusCode {
        match self {
            RequestError::TransferEncoding => StatusCode::LENGTH_REQUIRED,
            RequestError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::UnknownClass => StatusCode::NOT_FOUND,
            RequestError::WrongMethod => StatusCode::METHOD_NOT_ALLOWED,
            RequestError::UnknownTenant => StatusCode::FORBIDDEN,
            RequestError::ReadTimeout => StatusCode::REQUEST_TIMEOUT,
            RequestError::CallInFlight | RequestError::CallMayHaveRun => StatusCode::CONFLICT,
            RequestError::UnknownLength
            | RequestError::NoPath
            | RequestError::RepeatedHeader
            | RequestError::UnexpectedBody
            | RequestError::MissingIdempotencyKey
            | RequestError::InvalidCallId
            | RequestError::InvalidBudget
            | RequestError::IncompleteBody => StatusCode::BAD_REQUEST,
        }
    }
}

#[cfg(test)]
mod tests;
