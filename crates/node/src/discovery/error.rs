//! Errors of calls to discovery.

use crate::discovery::framing::ListTooLong;
use hyper::StatusCode;
use std::io;

/// Why a call to discovery, or the watch that it opened, has failed.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// The connection was not established within its timeout.
    #[error("connect timed out")]
    ConnectTimedOut,
    /// The connection could not be established.
    #[error("cannot connect")]
    Connect(#[source] io::Error),
    /// The response or the next list did not arrive within its timeout.
    #[error("timed out")]
    TimedOut,
    /// The response has another status than 200.
    #[error("unexpected status {0}")]
    UnexpectedStatus(StatusCode),
    /// The stream of lists ended.
    #[error("stream ended")]
    StreamEnded,
    /// A list is longer than any that is accepted.
    #[error(transparent)]
    ListTooLong(#[from] ListTooLong),
    /// The exchange failed at the HTTP level.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// The request could not be built.
    #[error(transparent)]
    InvalidRequest(#[from] hyper::http::Error),
}
