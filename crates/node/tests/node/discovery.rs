//! Service discovery: watches and polls of the endpoint list, and the effects of lists.

use crate::support::config::NodeConfig;
use crate::support::discovery::{
    DiscoveryServer, delta, draining, entry_with_status, in_service, snapshot,
};
use crate::support::endpoint::{ScriptedEndpoint, ok_with_headers};
use crate::support::process::NodeProcess;
use crate::support::refusing_address::RefusingAddress;
use crate::support::settings::NodeSettings;
use crate::support::setup::{NodeSetup, start_node};
use crate::support::wait::wait_until;
use std::time::{Duration, Instant};

/// Returns a list entry with each member on its own line.
fn indented(entry: &str) -> String {
    entry.replace(',', ",\n      ")
}

/// The node also closes its idle connection to the draining endpoint.
#[test]
fn draining_endpoint_gets_no_new_request() {
    let [old, new] = ["old", "new"].map(ScriptedEndpoint::serving);
    let (node, mut discovery) = start_node(&[&old]);
    assert_eq!(node.client().request_idempotent().body, b"old");
    discovery.send_list(&delta(
        9,
        &[draining("s-0", old.address), in_service("s-1", new.address)],
    ));
    old.next_closed();
    for _ in 0..10 {
        assert_eq!(node.client().request_non_idempotent().body, b"new");
    }
    assert_eq!(old.request_count(), 1);
}

#[test]
fn moved_endpoint_is_reached_at_new_address() {
    let [old, new] = ["old", "new"].map(ScriptedEndpoint::serving);
    let (node, mut discovery) = start_node(&[&old]);
    assert_eq!(node.client().request_idempotent().body, b"old");
    discovery.send_list(&delta(9, &[in_service("s-0", new.address)]));
    old.next_closed();
    assert_eq!(node.client().request_idempotent().body, b"new");
}

/// While the watch is down, the node serves from its current list. It retries calls that fail.
#[test]
fn broken_watch_resumes_from_last_index() {
    let [old, new] = ["old", "new"].map(ScriptedEndpoint::serving);
    let (node, mut discovery) = start_node(&[&old]);
    let first_call = discovery.watch_start_line();
    assert!(
        first_call.contains("stream=1&index=7 "),
        "the first watch should start from the index of the cached list: {first_call}"
    );
    discovery.send_list(&delta(12, &[]));
    node.client().request_idempotent();
    discovery.break_watch();
    let mut resumed = discovery.next_call();
    assert!(
        resumed.start_line.contains("index=12 "),
        "{}",
        resumed.start_line
    );
    assert_eq!(node.client().request_idempotent().body, b"old");
    resumed.fail();
    discovery.accept_watch();
    discovery.send_list(&snapshot(13, &[in_service("s-1", new.address)]));
    old.next_closed();
    assert_eq!(node.client().request_idempotent().body, b"new");
}

#[test]
fn node_started_without_discovery_serves_from_cached_list() {
    let endpoint = ScriptedEndpoint::serving("cached");
    let unavailable = RefusingAddress::reserve();
    let config = NodeConfig::new(unavailable.address, &NodeSettings::default());
    let cached = [in_service("s-0", endpoint.address)];
    let node = NodeProcess::start(&config.cached_endpoints(&cached));
    wait_until(|| node.is_ready(), "the node to become ready");
    assert_eq!(node.client().request_idempotent().body, b"cached");
}

#[test]
fn node_without_endpoint_list_is_not_ready() {
    let mut discovery = DiscoveryServer::start();
    let node = NodeProcess::start(&NodeConfig::new(
        discovery.address,
        &NodeSettings::default(),
    ));
    let call = discovery.next_call();
    assert!(!node.is_ready());
    discovery.open_watch(call);
    discovery.send_list(&snapshot(8, &[]));
    wait_until(|| node.is_ready(), "the node to become ready");
}

#[test]
fn silent_watch_is_closed_and_reopened() {
    let endpoint = ScriptedEndpoint::serving("");
    let (_node, discovery) = start_node(&[&endpoint]);
    assert!(discovery.next_call().start_line.contains("index=8 "));
}

#[test]
fn indented_list_is_parsed() {
    let [old, new] = ["old", "new"].map(ScriptedEndpoint::serving);
    let (node, mut discovery) = start_node(&[&old]);
    assert_eq!(node.client().request_idempotent().body, b"old");
    let entries = [draining("s-0", old.address), in_service("s-1", new.address)];
    // Each line is sent as a separate chunk, so the end of the list is known only from its JSON.
    let entries = entries.map(|entry| indented(&entry)).join(",\n    ");
    let head = "{\n  \"index\": 9,\n  \"snapshot\": false,\n  \"endpoints\": [";
    for line in format!("{head}\n    {entries}\n  ]\n}}").lines() {
        discovery.send_list(line);
    }
    discovery.send_list("");
    old.next_closed();
    assert_eq!(node.client().request_idempotent().body, b"new");
}

#[test]
fn only_malformed_list_entry_or_load_report_is_dropped() {
    let endpoint = ScriptedEndpoint::start(|_| ok_with_headers("X-Load-Report: inflight=many\r\n"));
    let (node, mut discovery) = start_node(&[]);
    discovery.send_list("{\"index\": 9, \"endpoints\": 5}");
    discovery.send_list("\u{1}\u{2}");
    let bad_address =
        r#"{"name":"s-2","address":"nowhere","zone":"a","status":"in_service"}"#.to_owned();
    let unknown_status = entry_with_status("s-3", endpoint.address, "asleep");
    discovery.send_list(&snapshot(
        10,
        &[
            bad_address,
            unknown_status,
            in_service("s-0", endpoint.address),
        ],
    ));
    assert_eq!(node.client().request_idempotent().status(), 200);
    node.wait_for_log("malformed endpoint list dropped");
    node.wait_for_log("malformed endpoint list entry dropped");
    node.wait_for_log("malformed load report");
}

#[test]
fn endpoint_list_is_polled_where_settings_require_it() {
    let endpoint = ScriptedEndpoint::serving("");
    let mut discovery = DiscoveryServer::start();
    let node = NodeProcess::start(&NodeConfig::new(
        discovery.address,
        &NodeSettings::polling(),
    ));
    discovery.next_call().fail();
    discovery.accept_watch();
    discovery.send_list(&snapshot(8, &[in_service("s-0", endpoint.address)]));
    assert_eq!(node.client().request_idempotent().status(), 200);
}

/// A node that polls but has no cached list, or an empty one without entries, polls for its first
/// list and is not ready before.
#[test]
fn node_without_cached_list_polls_for_one() {
    let endpoint = ScriptedEndpoint::serving("");
    for cached_list in [None, Some(r#"{"index":7}"#)] {
        let mut discovery = DiscoveryServer::start();
        let config = NodeConfig::new(discovery.address, &NodeSettings::polling());
        let node = NodeProcess::start(&config.cached_list(cached_list));
        let call = discovery.next_call();
        assert!(
            !node.is_ready(),
            "a node without an endpoint list must not be ready"
        );
        discovery.open_watch(call);
        discovery.send_list(&snapshot(8, &[in_service("s-0", endpoint.address)]));
        wait_until(|| node.is_ready(), "the node to become ready");
        assert_eq!(node.client().request_idempotent().status(), 200);
    }
}

/// With a watch, the grace period of a change begins when discovery is available again and sends
/// the change. The node must therefore call often enough during an outage to hear of it in time.
#[test]
fn watch_is_retried_within_grace_period_during_outage() {
    let endpoint = ScriptedEndpoint::serving("");
    let settings = NodeSettings {
        drain_grace_ms: 400,
        ..NodeSettings::default()
    };
    let (_node, mut discovery) = NodeSetup::with_settings(settings).start(&[&endpoint]);
    let outage_start = Instant::now();
    discovery.break_watch();
    for _ in 0..60 {
        discovery.next_call().fail();
    }
    // 60 calls at intervals of half the grace period take 12 s. With a backoff of up to 2 s they
    // would take more than a minute.
    assert!(
        outage_start.elapsed() < Duration::from_secs(40),
        "60 calls took {:?}",
        outage_start.elapsed()
    );
}

#[test]
fn outdated_delta_is_ignored() {
    let [drained, kept, new] = ["drained", "kept", "new"].map(ScriptedEndpoint::serving);
    let (node, mut discovery) = start_node(&[&drained, &kept]);
    discovery.send_list(&delta(12, &[draining("s-0", drained.address)]));
    discovery.send_list(&delta(11, &[in_service("s-0", drained.address)]));
    // Lists are applied in order, so once the last one has taken effect, all earlier ones have too.
    discovery.send_list(&delta(13, &[in_service("s-2", new.address)]));
    discovery.send_list(&delta(14, &[draining("s-1", kept.address)]));
    let mut client = node.client();
    wait_until(
        || client.request_idempotent().body == b"new",
        "the last list to take effect",
    );
    let before = drained.request_count();
    (0..20).for_each(|_| assert_eq!(client.request_idempotent().body, b"new"));
    assert_eq!(drained.request_count(), before);
}

/// A restarted node has a cached list. It must not wait for a discovery service that does not
/// respond or sends only part of a list.
#[test]
fn restarted_node_is_ready_despite_unresponsive_discovery() {
    for settings in [NodeSettings::default(), NodeSettings::polling()] {
        for sends_partial_list in [false, true] {
            let endpoint = ScriptedEndpoint::serving("cached");
            let discovery = DiscoveryServer::start();
            let config = NodeConfig::new(discovery.address, &settings);
            let cached = [in_service("s-0", endpoint.address)];
            let node = NodeProcess::start(&config.cached_endpoints(&cached));
            // The call stays open until the end of the test, with no response or with part of a
            // list.
            let mut call = discovery.next_call();
            if sends_partial_list {
                call.start_stream();
                call.write("20\r\n{\"index\":8,\"snapshot\":true,\"endp");
            }
            wait_until(|| node.is_ready(), "the node to become ready");
            assert_eq!(
                node.count_log_lines("endpoint list watch failed"),
                0,
                "the node should be ready before its call times out"
            );
            assert_eq!(node.client().request_idempotent().body, b"cached");
            drop(call);
        }
    }
}

#[test]
fn list_of_1024_endpoints_is_applied_completely() {
    const ENDPOINTS: usize = 1024;
    let endpoints = [0, 1].map(|_| ScriptedEndpoint::serving(""));
    let (node, mut discovery) = start_node(&[]);
    // Indented lists are the longest. All endpoints share two addresses.
    let name = |number: usize| format!("s-{number:08x}");
    let address = |number: usize| endpoints[number % 2].address;
    let entries: Vec<_> = (0..ENDPOINTS)
        .map(|number| indented(&in_service(&name(number), address(number))))
        .collect();
    discovery.send_list(&snapshot(9, &entries));
    let mut client = node.client();
    (0..50).for_each(|_| assert_eq!(client.request_idempotent().status(), 200));
    // All endpoints but the last drain. If the last entry had been lost, no endpoint would serve.
    let draining: Vec<_> = (0..ENDPOINTS - 1)
        .map(|number| draining(&name(number), address(number)))
        .collect();
    discovery.send_list(&delta(10, &draining));
    let last = &endpoints[(ENDPOINTS - 1) % 2];
    let before = last.request_count();
    wait_until(
        || {
            let count = endpoints[0].request_count();
            (0..20).for_each(|_| assert_eq!(client.request_idempotent().status(), 200));
            endpoints[0].request_count() == count
        },
        "the last endpoint to serve alone",
    );
    assert!(last.request_count() > before);
    assert_eq!(node.count_log_lines("dropped"), 0);
}
