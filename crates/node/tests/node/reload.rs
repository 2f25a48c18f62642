//! Reloads of the configuration while the node runs.

use crate::support::config::NodeConfig;
use crate::support::discovery::{DiscoveryServer, delta, in_service, snapshot};
use crate::support::endpoint::{ScriptedEndpoint, ok};
use crate::support::gate::reply_gate;
use crate::support::process::NodeProcess;
use crate::support::settings::{LONG_DEADLINE_MS, NodeSettings};
use crate::support::setup::start_node;

/// After a change of the discovery address, the node watches the new address at once from index 0.
/// It keeps its endpoint list until the new service sends a snapshot.
#[test]
fn list_is_kept_until_snapshot_from_new_discovery_address() {
    let [old, new] = ["old", "new"].map(ScriptedEndpoint::serving);
    let (node, discovery) = start_node(&[&old]);
    let new_discovery = DiscoveryServer::start();
    // The cached list in the file is older than the current list and has no endpoints, so it must
    // not replace the current one.
    node.reload(&NodeConfig::new(new_discovery.address, &NodeSettings::default()).to_json());
    let mut call = new_discovery.next_call();
    assert!(
        call.start_line.contains("index=0 "),
        "an index of the previous service means nothing to the new one: {}",
        call.start_line
    );
    assert!(node.is_ready());
    assert_eq!(node.client().request_idempotent().body, b"old");
    drop(discovery);
    call.start_stream();
    call.send_line(&snapshot(3, &[in_service("s-1", new.address)]));
    old.next_closed();
    assert_eq!(node.client().request_idempotent().body, b"new");
    drop(call);
    assert!(new_discovery.next_call().start_line.contains("index=3 "));
}

#[test]
fn invalid_configuration_is_ignored_at_reload() {
    let endpoint = ScriptedEndpoint::serving("here");
    let (node, mut discovery) = start_node(&[&endpoint]);
    node.reload("not JSON");
    node.wait_for_log("keeping the current configuration");
    assert_eq!(node.client().request_idempotent().body, b"here");
    // The current watch continues, and a later valid configuration takes effect.
    let moved = ScriptedEndpoint::serving("there");
    discovery.send_list(&delta(9, &[in_service("s-0", moved.address)]));
    endpoint.next_closed();
    assert_eq!(node.client().request_idempotent().body, b"there");
    let new_discovery = DiscoveryServer::start();
    let other_settings = NodeSettings::with_objective(LONG_DEADLINE_MS + 1);
    let other = NodeConfig::new(new_discovery.address, &other_settings)
        .sockets(512)
        .name("n1")
        .to_json();
    node.reload(&other);
    new_discovery.next_call();
    node.wait_for_log("configuration changes that need a restart: name, limits, settings");
    // After several reloads in a row, the last configuration is in effect.
    (0..5).for_each(|_| node.reload(&other));
    node.reload(&NodeConfig::new(discovery.address, &NodeSettings::default()).to_json());
    assert!(discovery.next_call().start_line.contains("index=0 "));
}

#[test]
fn endpoint_list_is_polled_at_new_discovery_address() {
    let [old, new] = ["old", "new"].map(ScriptedEndpoint::serving);
    let mut discovery = DiscoveryServer::start();
    let node = NodeProcess::start(&NodeConfig::new(
        discovery.address,
        &NodeSettings::polling(),
    ));
    discovery.accept_watch();
    discovery.send_list(&snapshot(8, &[in_service("s-0", old.address)]));
    assert_eq!(node.client().request_idempotent().body, b"old");
    let new_discovery = DiscoveryServer::start();
    node.reload(&NodeConfig::new(new_discovery.address, &NodeSettings::polling()).to_json());
    let mut call = new_discovery.next_call();
    assert!(call.start_line.contains("index=0 "), "{}", call.start_line);
    call.start_stream();
    call.send_line(&snapshot(2, &[in_service("s-1", new.address)]));
    old.next_closed();
    assert_eq!(node.client().request_idempotent().body, b"new");
}

#[test]
fn reload_during_shutdown_keeps_requests_in_flight() {
    let (releaser, gate) = reply_gate();
    let endpoint = ScriptedEndpoint::start(move |_| {
        gate.wait();
        ok("served")
    });
    let (mut node, discovery) = start_node(&[&endpoint]);
    let mut in_flight = node.client();
    in_flight.send_non_idempotent();
    endpoint.next_request();
    node.terminate();
    node.wait_for_log("shutdown requested");
    node.reload(&NodeConfig::new(discovery.address, &NodeSettings::default()).to_json());
    node.wait_for_log("configuration reloaded");
    releaser.release_one();
    assert_eq!(
        in_flight
            .receive()
            .expect("request in flight should get a response")
            .body,
        b"served"
    );
    assert_eq!(node.wait_for_exit().code(), Some(0));
}
