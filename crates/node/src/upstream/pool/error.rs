//! The errors of connection checkouts.

use ottertiller_balancer::Outcome;

/// Why a checkout failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum CheckoutError {
    /// The endpoint is not listed, or it has moved, restarted or begun to drain.
    #[error("endpoint not available")]
    EndpointUnavailable,
    /// The limit on open connections is reached, and none of them is idle.
    #[error("upstream connection limit reached")]
    ConnectionLimit,
    /// This node or its host is out of file descriptors, memory or ports.
    #[error("out of local resources")]
    LocalResources,
    /// The endpoint could not be connected to.
    #[error("connect failed")]
    ConnectFailed,
    /// The connection was opened, but closed before it could be used.
    #[error("connection closed before use")]
    ConnectionClosed,
}

impl CheckoutError {
    /// Returns the outcome of the attempt or health check that needed the connection. Only a failed
    /// connect counts as a failure of the endpoint.
    pub(crate) fn outcome(self) -> Outcome {
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
