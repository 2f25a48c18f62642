//! Stand-ins for the clients, endpoints (intake servers), discovery and network of a node, and the
//! process of the node itself. Every address is a loopback address.

pub mod client;
pub mod discovery;
pub mod endpoint;
pub mod http;
pub mod node;
pub mod proxy;
pub mod random;
pub mod record;
pub mod settings;

/// Returns whether the disruption is on: it is, unless TROUBLE=0.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
