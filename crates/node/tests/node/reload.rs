//! Configurations read again while the node runs.

use crate::support::*;

/// The new address is watched at once, from the whole list.
#[test]
fn list_is_kept_until_snapshot_from_new_discovery_address() {
    let (old, new) = (
        ScriptedEndpoint::start(|_| ok("old")),
        ScriptedEndpoint::start(|_| ok("new")),
    );
    let (node, watch, discovery) = start_node(&settings(LONG_MS, ""), &[&old]);
    let elsewhere = DiscoveryServer::start();
    // What the file knows is older than the list that the node has: here, that there is no
    // endpoint.
    node.reload(&config(elsewhere.address, &settings(LONG_MS, ""), 1024));
    let mut next = elsewhere.next_call();
    assert!(
        next.start_line.contains("index=0 "),
        "the indexes are those of another service: {}",
        next.start_line
    );
    assert!(node.is_ready());
    assert_eq!(node.client().request_read().body, b"old");
    drop((watch, discovery));
    next.start_stream();
    next.send_line(&list(3, true, &[entry("s-1", new.address, "in_service")]));
    old.next_closed();
    assert_eq!(node.client().request_read().body, b"new");
    drop(next);
    assert!(elsewhere.next_call().start_line.contains("index=3 "));
}

#[test]
fn invalid_configuration_is_ignored_at_reload() {
    let endpoint = ScriptedEndpoint::start(|_| ok("here"));
    let (node, mut watch, discovery) = start_node(&settings(LONG_MS, ""), &[&endpoint]);
    node.reload("not JSON");
    node.wait_for_log("keeping the current configuration");
    assert_eq!(node.client().request_read().body, b"here");
    // The old watch goes on, and a valid file still takes effect.
    let moved = ScriptedEndpoint::start(|_| ok("there"));
    watch.send_line(&list(
        9,
        false,
        &[entry("s-0", moved.address, "in_service")],
    ));
    endpoint.next_closed();
    assert_eq!(node.client().request_read().body, b"there");
    let elsewhere = DiscoveryServer::start();
    let other =
        config(elsewhere.address, &settings(LONG_MS + 1, ""), 512).replace("\"n0\"", "\"n1\"");
    node.reload(&other);
    elsewhere.next_call();
    node.wait_for_log("configuration changes that need a restart: name, limits, settings");
    // And back again, several times in a row.
    (0..5).for_each(|_| node.reload(&other));
    node.reload(&config(discovery.address, &settings(LONG_MS, ""), 1024));
    assert!(discovery.next_call().start_line.contains("index=0 "));
}

#[test]
fn endpoint_list_is_polled_at_new_discovery_address() {
    let (old, new) = (
        ScriptedEndpoint::start(|_| ok("old")),
        ScriptedEndpoint::start(|_| ok("new")),
    );
    let discovery = DiscoveryServer::start();
    let node = NodeProcess::start(&config(discovery.address, &polling_settings(), 1024), "");
    let mut watch = discovery.next_call();
    watch.start_stream();
    watch.send_line(&list(8, true, &[entry("s-0", old.address, "in_service")]));
    assert_eq!(node.client().request_read().body, b"old");
    let elsewhere = DiscoveryServer::start();
    node.reload(&config(elsewhere.address, &polling_settings(), 1024));
    let mut next = elsewhere.next_call();
    assert!(next.start_line.contains("index=0 "), "{}", next.start_line);
    next.start_stream();
    next.send_line(&list(2, true, &[entry("s-1", new.address, "in_service")]));
    old.next_closed();
    assert_eq!(node.client().request_read().body, b"new");
}

#[test]
fn reload_during_shutdown_keeps_requests_in_flight() {
    let (gate_keeper, gate) = gate();
    let endpoint = ScriptedEndpoint::start(move |_| {
        gate.wait();
        ok("held")
    });
    let (mut node, _watch, discovery) = start_node(&settings(LONG_MS, ""), &[&endpoint]);
    let mut held = node.client();
    held.send_correct();
    endpoint.next_request();
    node.terminate();
    node.wait_for_log("shutdown requested");
    node.reload(&config(discovery.address, &settings(LONG_MS, ""), 1024));
    node.wait_for_log("configuration reloaded");
    gate_keeper.release_one();
    assert_eq!(
        held.receive()
            .expect("a request in flight has a response")
            .body,
        b"held"
    );
    assert_eq!(node.wait_for_exit().code(), Some(0));
}
