//! The endpoint list: the watch on the discovery service, and what its lists change.

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

/// Returns an entry with each member on a line of its own.
fn indented(entry: &str) -> String {
    entry.replace(',', ",\n      ")
}

/// The idle connection to the draining endpoint closes as well.
#[test]
fn draining_endpoint_gets_no_new_request() {
    let [old, new] = ["old", "new"].map(ScriptedEndpoint::serving);
    let (node, mut discovery) = start_node(&[&old]);
    assert_eq!(node.client().request_read().body, b"old");
    discovery.send_list(&delta(
        9,
        &[draining("s-0", old.address), in_service("s-1", new.address)],
    ));
    old.next_closed();
    for _ in 0..10 {
        assert_eq!(node.client().request_correct().body, b"new");
    }
    assert_eq!(old.request_count(), 1);
}

#[test]
fn moved_endpoint_is_reached_at_new_address() {
    let [old, new] = ["old", "new"].map(ScriptedEndpoint::serving);
    let (node, mut discovery) = start_node(&[&old]);
    assert_eq!(node.client().request_read().body, b"old");
    discovery.send_list(&delta(9, &[in_service("s-0", new.address)]));
    old.next_closed();
    assert_eq!(node.client().request_read().body, b"new");
}

/// The node serves from its present list meanwhile, and retries a call that fails.
#[test]
fn broken_watch_resumes_from_last_index() {
    let [old, new] = ["old", "new"].map(ScriptedEndpoint::serving);
    let (node, mut discovery) = start_node(&[&old]);
    let first_call = discovery.watch_start_line();
    assert!(
        first_call.contains("stream=1&index=7 "),
        "the watch starts from the cached list: {first_call}"
    );
    discovery.send_list(&delta(12, &[]));
    node.client().request_read();
    discovery.break_watch();
    let mut resumed = discovery.next_call();
    assert!(
        resumed.start_line.contains("index=12 "),
        "{}",
        resumed.start_line
    );
    assert_eq!(node.client().request_read().body, b"old");
    resumed.fail();
    discovery.accept_watch();
    discovery.send_list(&snapshot(13, &[in_service("s-1", new.address)]));
    old.next_closed();
    assert_eq!(node.client().request_read().body, b"new");
}

#[test]
fn node_started_without_discovery_serves_from_cached_list() {
    let endpoint = ScriptedEndpoint::serving("cached");
    let down = RefusingAddress::reserve();
    let config = NodeConfig::new(down.address, &NodeSettings::default());
    let cached = [in_service("s-0", endpoint.address)];
    let node = NodeProcess::start(&config.cached_endpoints(&cached));
    wait_until(|| node.is_ready(), "readiness");
    assert_eq!(node.client().request_read().body, b"cached");
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
    wait_until(|| node.is_ready(), "readiness");
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
    assert_eq!(node.client().request_read().body, b"old");
    let entries = [draining("s-0", old.address), in_service("s-1", new.address)];
    // Each line is a chunk of its own: only the list itself shows where it ends.
    let entries = entries.map(|entry| indented(&entry)).join(",\n    ");
    let head = "{\n  \"index\": 9,\n  \"snapshot\": false,\n  \"endpoints\": [";
    for line in format!("{head}\n    {entries}\n  ]\n}}").lines() {
        discovery.send_list(line);
    }
    discovery.send_list("");
    old.next_closed();
    assert_eq!(node.client().request_read().body, b"new");
}

#[test]
fn malformed_list_entry_or_report_is_dropped_alone() {
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
    assert_eq!(node.client().request_read().status(), 200);
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
    assert_eq!(node.client().request_read().status(), 200);
}

/// A node that has never had an endpoint list polls for one.
#[test]
fn node_without_cached_list_polls_for_one() {
    let endpoint = ScriptedEndpoint::serving("");
    for cached_list in [None, Some(r#"{"index":7}"#)] {
        let mut discovery = DiscoveryServer::start();
        let config = NodeConfig::new(discovery.address, &NodeSettings::polling());
        let node = NodeProcess::start(&config.cached_list(cached_list));
        let call = discovery.next_call();
        assert!(!node.is_ready(), "it has no endpoint list");
        discovery.open_watch(call);
        discovery.send_list(&snapshot(8, &[in_service("s-0", endpoint.address)]));
        wait_until(|| node.is_ready(), "readiness");
        assert_eq!(node.client().request_read().status(), 200);
    }
}

/// Where lists are watched, the grace period of a change begins when discovery is back and sends
/// it.
#[test]
fn watch_is_retried_within_grace_period_during_outage() {
    let endpoint = ScriptedEndpoint::serving("");
    let settings = NodeSettings {
        drain_grace_ms: 400,
        ..NodeSettings::default()
    };
    let (_node, mut discovery) = NodeSetup::with_settings(settings).start(&[&endpoint]);
    let down = Instant::now();
    discovery.break_watch();
    for _ in 0..60 {
        discovery.next_call().fail();
    }
    // Calls at intervals of half the grace period take 12 s; with a backoff of up to 2 s they would
    // take over a minute.
    assert!(
        down.elapsed() < Duration::from_secs(40),
        "{:?}",
        down.elapsed()
    );
}

#[test]
fn outdated_delta_is_ignored() {
    let [drained, kept, new] = ["drained", "kept", "new"].map(ScriptedEndpoint::serving);
    let (node, mut discovery) = start_node(&[&drained, &kept]);
    discovery.send_list(&delta(12, &[draining("s-0", drained.address)]));
    discovery.send_list(&delta(11, &[in_service("s-0", drained.address)]));
    // Lists are applied in order: once the last one shows, all before it have been applied.
    discovery.send_list(&delta(13, &[in_service("s-2", new.address)]));
    discovery.send_list(&delta(14, &[draining("s-1", kept.address)]));
    let mut client = node.client();
    wait_until(|| client.request_read().body == b"new", "the last list");
    let before = drained.request_count();
    (0..20).for_each(|_| assert_eq!(client.request_read().body, b"new"));
    assert_eq!(drained.request_count(), before);
}

/// A restarted process has its cached list and must not wait for discovery, which is silent or
/// sends half a list.
#[test]
fn restarted_node_is_ready_despite_unresponsive_discovery() {
    for settings in [NodeSettings::default(), NodeSettings::polling()] {
        for sends_half_a_list in [false, true] {
            let endpoint = ScriptedEndpoint::serving("cached");
            let discovery = DiscoveryServer::start();
            let config = NodeConfig::new(discovery.address, &settings);
            let cached = [in_service("s-0", endpoint.address)];
            let node = NodeProcess::start(&config.cached_endpoints(&cached));
            // The reply to the call is half a list at most for as long as the test lasts.
            let mut call = discovery.next_call();
            if sends_half_a_list {
                call.start_stream();
                call.write("20\r\n{\"index\":8,\"snapshot\":true,\"endp");
            }
            wait_until(|| node.is_ready(), "readiness");
            assert_eq!(
                node.count_log_lines("endpoint list watch failed"),
                0,
                "before the call of the node times out"
            );
            assert_eq!(node.client().request_read().body, b"cached");
            drop(call);
        }
    }
}

#[test]
fn list_of_1024_endpoints_is_applied_whole() {
    const ENDPOINTS: usize = 1024;
    let endpoints = [0, 1].map(|_| ScriptedEndpoint::serving(""));
    let (node, mut discovery) = start_node(&[]);
    // Indented lists are the longest. All endpoints are at the same two addresses.
    let name = |number: usize| format!("s-{number:08x}");
    let address = |number: usize| endpoints[number % 2].address;
    let entries: Vec<_> = (0..ENDPOINTS)
        .map(|number| indented(&in_service(&name(number), address(number))))
        .collect();
    discovery.send_list(&snapshot(9, &entries));
    let mut client = node.client();
    (0..50).for_each(|_| assert_eq!(client.request_read().status(), 200));
    // All but the last endpoint drain. If it had been dropped from the list, none would serve.
    let draining: Vec<_> = (0..ENDPOINTS - 1)
        .map(|number| draining(&name(number), address(number)))
        .collect();
    discovery.send_list(&delta(10, &draining));
    let last = &endpoints[(ENDPOINTS - 1) % 2];
    let before = last.request_count();
    wait_until(
        || {
            let count = endpoints[0].request_count();
            (0..20).for_each(|_| assert_eq!(client.request_read().status(), 200));
            endpoints[0].request_count() == count
        },
        "the last endpoint to serve alone",
    );
    assert!(last.request_count() > before);
    assert_eq!(node.count_log_lines("dropped"), 0);
}
