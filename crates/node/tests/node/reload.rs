//! Configurations read again while the node runs.

use crate::support::config::NodeConfig;
use crate::support::discovery::{DiscoveryServer, delta, in_service, snapshot};
use crate::support::endpoint::{ScriptedEndpoint, ok};
use crate::support::gate::gate;
use crate::support::process::NodeProcess;
use crate::support::settings::{LONG_MS, NodeSettings};
use crate::support::setup::start_node;

/// The new address is watched at once, from the whole list.
#[test]
fn list_is_kept_until_snapshot_from_new_discovery_address() {
    let [old, new] = ["old", "new"].map(ScriptedEndpoint::serving);
    let (node, discovery) = start_node(&[&old]);
    let elsewhere = DiscoveryServer::start();
    // The cached list of the file is older than the list in force: it has no endpoint.
    node.reload(&NodeConfig::new(elsewhere.address, &NodeSettings::default()).to_json());
    let mut next = elsewhere.next_call();
    assert!(
        next.start_line.contains("index=0 "),
        "another service has indexes of its own: {}",
        next.start_line
    );
    assert!(node.is_ready());
    assert_eq!(node.client().request_read().body, b"old");
    drop(discovery);
    next.start_stream();
    next.send_line(&snapshot(3, &[in_service("s-1", new.address)]));
    old.next_closed();
    assert_eq!(node.client().request_read().body, b"new");
    drop(next);
    assert!(elsewhere.next_call().start_line.contains("index=3 "));
}

#[test]
fn invalid_configuration_is_ignored_at_reload() {
    let endpoint = ScriptedEndpoint::serving("here");
    let (node, mut discovery) = start_node(&[&endpoint]);
    node.reload("not JSON");
    node.wait_for_log("keeping the current configuration");
    assert_eq!(node.client().request_read().body, b"here");
    // The old watch goes on, and a valid file still takes effect.
    let moved = ScriptedEndpoint::serving("there");
    discovery.send_list(&delta(9, &[in_service("s-0", moved.address)]));
    endpoint.next_closed();
    assert_eq!(node.client().request_read().body, b"there");
    let elsewhere = DiscoveryServer::start();
    let other_settings = NodeSettings::with_objective(LONG_MS + 1);
    let other = NodeConfig::new(elsewhere.address, &other_settings)
        .sockets(512)
        .name("n1")
        .to_json();
    node.reload(&other);
    elsewhere.next_call();
    node.wait_for_log("configuration changes that need a restart: name, limits, settings");
    // Several reloads in a row end with the first address.
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
    assert_eq!(node.client().request_read().body, b"old");
    let elsewhere = DiscoveryServer::start();
    node.reload(&NodeConfig::new(elsewhere.address, &NodeSettings::polling()).to_json());
    let mut next = elsewhere.next_call();
    assert!(next.start_line.contains("index=0 "), "{}", next.start_line);
    next.start_stream();
    next.send_line(&snapshot(2, &[in_service("s-1", new.address)]));
    old.next_closed();
    assert_eq!(node.client().request_read().body, b"new");
}

#[test]
fn reload_during_shutdown_keeps_requests_in_flight() {
    let (gate_keeper, gate) = gate();
    let endpoint = ScriptedEndpoint::start(move |_| {
        gate.wait();
        ok("served")
    });
    let (mut node, discovery) = start_node(&[&endpoint]);
    let mut in_flight = node.client();
    in_flight.send_correct();
    endpoint.next_request();
    node.terminate();
    node.wait_for_log("shutdown requested");
    node.reload(&NodeConfig::new(discovery.address, &NodeSettings::default()).to_json());
    node.wait_for_log("configuration reloaded");
    gate_keeper.release_one();
    assert_eq!(
        in_flight
            .receive()
            .expect("a request in flight has a response")
            .body,
        b"served"
    );
    assert_eq!(node.wait_for_exit().code(), Some(0));
}
