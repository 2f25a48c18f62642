//! The errors of calls to discovery.

use crate::discovery::framing::ListTooLong;
use hyper::StatusCode;
use std::io;

/// Why a call to discovery, or the watch that it opened, failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum DiscoveryError {
    /// The connection was not established within its timeout.
    #[error("connect timed out")]
    ConnectTimedOut,
    /// The connection could not be established.
    #[error("cannot connect")]
    Connect(#[source] io::Error),
    /// The response, or the next list or heartbeat, did not arrive within its time limit.
    #[error("timed out waiting for an endpoint list")]
    TimedOut,
    /// The status of the response is not 200.
    #[error("unexpected status {0}, expected 200")]
    UnexpectedStatus(StatusCode),
    /// The response body, which carries the lists, ended.
    #[error("endpoint list stream ended")]
    StreamEnded,
    /// A list is longer than the limit.
    #[error(transparent)]
    ListTooLong(#[from] ListTooLong),
    /// The exchange failed at the HTTP level.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// The request could not be built.
    #[error(transparent)]
    InvalidRequest(#[from] hyper::http::Error),
}
