//! Errors that prevent the node from starting or running.

use crate::config::ConfigError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::task::JoinError;

/// Why the node could not start, or stopped without a shutdown signal.
#[derive(Debug, Error)]
pub(crate) enum NodeError {
    /// The async runtime could not be built.
    #[error("cannot start the async runtime")]
    Runtime(#[source] io::Error),
    /// The signal handlers could not be installed.
    #[error("cannot listen for signals")]
    Signals(#[source] io::Error),
    /// The configuration cannot be used.
    #[error("bad configuration")]
    Config(#[from] ConfigError),
    /// The node cannot listen on the address for clients.
    #[error("cannot listen on {address}")]
    Bind {
        /// The configured address.
        address: SocketAddr,
        /// The error of binding to it.
        source: io::Error,
    },
    /// The local address of the listener cannot be determined.
    #[error("cannot read the listener's address")]
    LocalAddress(#[source] io::Error),
    /// The driver's task has ended. The source is its panic, if it panicked.
    #[error("the driver task ended unexpectedly")]
    DriverEnded(#[source] Option<JoinError>),
    /// Discovery's task has ended. The source is its panic, if it panicked.
    #[error("the discovery task ended unexpectedly")]
    DiscoveryEnded(#[source] Option<JoinError>),
}

#[cfg(test)]
mod tests;
