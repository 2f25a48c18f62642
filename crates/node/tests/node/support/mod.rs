//! A node under test and scripted peers round it: endpoints, discovery and clients. Everything
//! waits for events; [`TEST_TIMEOUT`] only ends a test that has gone wrong.

mod client;
mod config;
mod discovery;
mod endpoint;
mod gate;
mod message;
mod process;
mod refusing_address;

pub use client::*;
pub use config::*;
pub use discovery::*;
pub use endpoint::*;
pub use gate::*;
pub use process::*;
pub use refusing_address::*;

use std::time::{Duration, Instant};

/// How long a test waits for an event.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Polls a condition that no event reports.
pub fn wait_until(mut holds: impl FnMut() -> bool, what: &str) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "waited in vain for {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Lets some time pass, more than a connection rests after a response before it may be reused.
pub fn wait_for_idle_connection() {
    std::thread::sleep(Duration::from_millis(30));
}

/// A node whose list holds these endpoints, with its watch and the discovery service.
pub fn start_node(
    settings: &str,
    endpoints: &[&ScriptedEndpoint],
) -> (NodeProcess, DiscoveryCall, DiscoveryServer) {
    start_node_with_descriptors(settings, endpoints, 1024, "")
}

pub fn start_node_with_descriptors(
    settings: &str,
    endpoints: &[&ScriptedEndpoint],
    sockets: usize,
    shell: &str,
) -> (NodeProcess, DiscoveryCall, DiscoveryServer) {
    let discovery = DiscoveryServer::start();
    let node = NodeProcess::start(&config(discovery.address, settings, sockets), shell);
    send_endpoints(node, discovery, endpoints)
}

/// As `start_node`, with these limits.
pub fn start_node_with_limits(
    settings: &str,
    endpoints: &[&ScriptedEndpoint],
    limits: &str,
) -> (NodeProcess, DiscoveryCall, DiscoveryServer) {
    let discovery = DiscoveryServer::start();
    let node = NodeProcess::start(&config_with(discovery.address, settings, limits), "");
    send_endpoints(node, discovery, endpoints)
}

/// As `start_node`, and nobody reads the log.
pub fn start_node_without_log_reader(
    settings: &str,
    endpoints: &[&ScriptedEndpoint],
) -> (NodeProcess, DiscoveryCall, DiscoveryServer) {
    let discovery = DiscoveryServer::start();
    let node = NodeProcess::start_without_log_reader(&config(discovery.address, settings, 1024));
    send_endpoints(node, discovery, endpoints)
}

/// Sends the node its first list, and waits until it is ready.
fn send_endpoints(
    node: NodeProcess,
    discovery: DiscoveryServer,
    endpoints: &[&ScriptedEndpoint],
) -> (NodeProcess, DiscoveryCall, DiscoveryServer) {
    let mut watch = discovery.next_call();
    watch.start_stream();
    let entries = endpoints
        .iter()
        .enumerate()
        .map(|(number, endpoint)| entry(&format!("s-{number}"), endpoint.address, "in_service"));
    watch.send_line(&list(8, true, &entries.collect::<Vec<_>>()));
    wait_until(|| node.is_ready(), "readiness");
    (node, watch, discovery)
}
