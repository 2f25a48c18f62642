//! The options of the downstream side, which the `startup` module derives from the configuration.

use ottertiller_balancer::Idempotency;
use std::time::Duration;

/// The options of the downstream side.
#[derive(Clone, Debug)]
pub(crate) struct DownstreamOptions {
    /// The greatest number of client connections.
    pub max_connections: usize,
    /// The classes of requests. A class is identified by its position.
    pub classes: Vec<ClassOptions>,
    /// The names of the tenants; empty if requests name none. A tenant is identified by its
    /// position.
    pub tenants: Vec<String>,
    /// The Retry-After of requests that are shed before they reach the balancer; `None` for no such
    /// header.
    pub max_retry_after: Option<Duration>,
}

impl DownstreamOptions {
    /// Returns the longest time that a client of any class waits; zero if there is no class.
    pub(crate) fn longest_deadline(&self) -> Duration {
        self.classes
            .iter()
            .map(|class| class.deadline)
            .max()
            .unwrap_or_default()
    }
}

/// A class of requests.
#[derive(Clone, Debug)]
pub(crate) struct ClassOptions {
    /// The name, which is the first segment of the paths of its requests.
    pub name: String,
    /// Whether its requests may be repeated. This determines their method and headers.
    pub idempotency: Idempotency,
    /// How long a client waits for its response.
    pub deadline: Duration,
}
