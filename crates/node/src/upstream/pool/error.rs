//! Errors of checkouts.

use ottertiller_balancer::Outcome;

/// Why a checkout brought no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CheckoutError {
    /// The endpoint is not listed, or it has moved, restarted or begun to drain.
    #[error("endpoint not available")]
    EndpointUnavailable,
    /// No more connections may be open, and none is idle.
    #[error("upstream connection limit reached")]
    ConnectionLimit,
    /// This node or its system is out of descriptors, memory or ports.
    #[error("out of local resources")]
    LocalResources,
    /// The endpoint could not be connected to.
    #[error("connect failed")]
    ConnectFailed,
    /// The connection was opened, and had closed before anybody could use it.
    #[error("connection closed")]
    ConnectionClosed,
}

impl CheckoutError {
    /// Returns how the attempt or health check ends that needed the connection. Only a failed
    /// connect says something about the endpoint.
    pub fn outcome(self) -> Outcome {
        match self {
            CheckoutError::ConnectFailed => Outcome::ConnectFailed,
            CheckoutError::EndpointUnavailable
            | CheckoutError::ConnectionLimit
            | CheckoutError::LocalResources
            | CheckoutError::ConnectionClosed => Outcome::NotSent,
        }
    }
}

#[cfg(test)]
mod tests;
