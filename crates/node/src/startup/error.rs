//! Errors that keep the node from running.

use crate::config::ConfigError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::task::JoinError;

/// The reason for which the node could not start, or stopped without being asked to.
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
    /// The address for clients cannot be listened on.
    #[error("cannot listen on {address}")]
    Bind {
        /// The configured address.
        address: SocketAddr,
        /// The error of the system.
        source: io::Error,
    },
    /// The listener's local address is not known.
    #[error("cannot read the listener's address")]
    LocalAddress(#[source] io::Error),
    /// The driver's task has ended, or has panicked if there is an error.
    #[error("the driver task ended")]
    DriverEnded(#[source] Option<JoinError>),
    /// Discovery's task has ended, or has panicked if there is an error.
    #[error("the discovery task ended")]
    DiscoveryEnded(#[source] Option<JoinError>),
}

#[cfg(test)]
mod tests;
