//! The endpoint list: the watch on the discovery service, and what its lists change.

use crate::support::*;
use std::time::{Duration, Instant};

/// The idle connection to the draining endpoint closes as well.
#[test]
fn draining_endpoint_gets_no_new_request() {
    let (old, new) = (
        ScriptedEndpoint::start(|_| ok("old")),
        ScriptedEndpoint::start(|_| ok("new")),
    );
    let (node, mut watch, _discovery) = start_node(&settings(LONG_MS, ""), &[&old]);
    assert_eq!(node.client().request_read().body, b"old");
    watch.send_line(&list(
        9,
        false,
        &[
            entry("s-0", old.address, "terminating"),
            entry("s-1", new.address, "in_service"),
        ],
    ));
    old.next_closed();
    for _ in 0..10 {
        assert_eq!(node.client().request_correct().body, b"new");
    }
    assert_eq!(old.request_count(), 1);
}

#[test]
fn moved_endpoint_is_reached_at_new_address() {
    let (old, new) = (
        ScriptedEndpoint::start(|_| ok("old")),
        ScriptedEndpoint::start(|_| ok("new")),
    );
    let (node, mut watch, _discovery) = start_node(&settings(LONG_MS, ""), &[&old]);
    assert_eq!(node.client().request_read().body, b"old");
    watch.send_line(&list(9, false, &[entry("s-0", new.address, "in_service")]));
    old.next_closed();
    assert_eq!(node.client().request_read().body, b"new");
}

/// The node serves from its present list meanwhile, and retries a call that fails.
#[test]
fn broken_watch_resumes_from_last_index() {
    let (old, new) = (
        ScriptedEndpoint::start(|_| ok("old")),
        ScriptedEndpoint::start(|_| ok("new")),
    );
    let (node, mut watch, discovery) = start_node(&settings(LONG_MS, ""), &[&old]);
    assert!(
        watch.start_line.contains("stream=1&index=7 "),
        "it starts from the known list: {}",
        watch.start_line
    );
    watch.send_line(&list(12, false, &[]));
    node.client().request_read();
    drop(watch);
    let mut watch = discovery.next_call();
    assert!(
        watch.start_line.contains("index=12 "),
        "{}",
        watch.start_line
    );
    // It keeps serving from the list it has, and tries again if a call fails.
    assert_eq!(node.client().request_read().body, b"old");
    watch.write("HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n");
    let mut watch = discovery.next_call();
    watch.start_stream();
    watch.send_line(&list(13, true, &[entry("s-1", new.address, "in_service")]));
    old.next_closed();
    assert_eq!(node.client().request_read().body, b"new");
}

#[test]
fn node_started_without_discovery_serves_from_cached_list() {
    let endpoint = ScriptedEndpoint::start(|_| ok("known"));
    let down = RefusingAddress::reserve();
    let config = config(down.address, &settings(LONG_MS, ""), 1024);
    let known = entry("s-0", endpoint.address, "in_service");
    let node = NodeProcess::start(
        &config.replace("\"endpoints\":[]", &format!("\"endpoints\":[{known}]")),
        "",
    );
    wait_until(|| node.is_ready(), "readiness");
    assert_eq!(node.client().request_read().body, b"known");
}

#[test]
fn node_without_endpoint_list_is_not_ready() {
    let discovery = DiscoveryServer::start();
    let node = NodeProcess::start(&config(discovery.address, &settings(LONG_MS, ""), 1024), "");
    let mut watch = discovery.next_call();
    assert!(!node.is_ready());
    watch.start_stream();
    watch.send_line(&list(8, true, &[]));
    wait_until(|| node.is_ready(), "readiness");
}

#[test]
fn silent_watch_is_closed_and_reopened() {
    let endpoint = ScriptedEndpoint::start(|_| ok(""));
    let (_node, watch, discovery) = start_node(&settings(LONG_MS, ""), &[&endpoint]);
    assert!(discovery.next_call().start_line.contains("index=8 "));
    drop(watch);
}

#[test]
fn indented_list_is_parsed() {
    let (old, new) = (
        ScriptedEndpoint::start(|_| ok("old")),
        ScriptedEndpoint::start(|_| ok("new")),
    );
    let (node, mut watch, _discovery) = start_node(&settings(LONG_MS, ""), &[&old]);
    assert_eq!(node.client().request_read().body, b"old");
    let entries = [
        entry("s-0", old.address, "terminating"),
        entry("s-1", new.address, "in_service"),
    ];
    // Each line in a piece of its own: only the list itself shows where it ends.
    let entries = entries
        .map(|entry| entry.replace(',', ",\n      "))
        .join(",\n    ");
    let head = "{\n  \"index\": 9,\n  \"snapshot\": false,\n  \"endpoints\": [";
    for line in format!("{head}\n    {entries}\n  ]\n}}").lines() {
        watch.send_line(line);
    }
    watch.send_line("");
    old.next_closed();
    assert_eq!(node.client().request_read().body, b"new");
}

#[test]
fn malformed_list_entry_or_report_is_dropped_alone() {
    let endpoint = ScriptedEndpoint::start(|_| {
        ScriptedReply::Response("200 OK", "X-Load-Report: inflight=many\r\n", vec![])
    });
    let (node, mut watch, _discovery) = start_node(&settings(LONG_MS, ""), &[]);
    watch.send_line("{\"index\": 9, \"endpoints\": 5}");
    watch.send_line("\u{1}\u{2}");
    let nowhere =
        r#"{"name":"s-2","address":"nowhere","zone":"a","status":"in_service"}"#.to_owned();
    let strange = entry("s-3", endpoint.address, "asleep");
    watch.send_line(&list(
        10,
        true,
        &[
            nowhere,
            strange,
            entry("s-0", endpoint.address, "in_service"),
        ],
    ));
    assert_eq!(node.client().request_read().status(), 200);
    node.wait_for_log("malformed endpoint list dropped");
    node.wait_for_log("malformed endpoint list entry dropped");
    node.wait_for_log("malformed load report");
}

#[test]
fn endpoint_list_is_polled_where_settings_require_it() {
    let endpoint = ScriptedEndpoint::start(|_| ok(""));
    let discovery = DiscoveryServer::start();
    let node = NodeProcess::start(&config(discovery.address, &polling_settings(), 1024), "");
    discovery
        .next_call()
        .write("HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n");
    let mut watch = discovery.next_call();
    watch.start_stream();
    watch.send_line(&list(
        8,
        true,
        &[entry("s-0", endpoint.address, "in_service")],
    ));
    assert_eq!(node.client().request_read().status(), 200);
}

/// A node that has never had an endpoint list polls for one.
#[test]
fn node_without_cached_list_polls_for_one() {
    let endpoint = ScriptedEndpoint::start(|_| ok(""));
    for known in ["", r#""known":{"index":7},"#] {
        let discovery = DiscoveryServer::start();
        let config = config(discovery.address, &polling_settings(), 1024);
        let config = config.replace(
            r#""known":{"index":7,"snapshot":true,"endpoints":[]},"#,
            known,
        );
        let node = NodeProcess::start(&config, "");
        let mut watch = discovery.next_call();
        assert!(!node.is_ready(), "it has no endpoint list");
        watch.start_stream();
        watch.send_line(&list(
            8,
            true,
            &[entry("s-0", endpoint.address, "in_service")],
        ));
        wait_until(|| node.is_ready(), "readiness");
        assert_eq!(node.client().request_read().status(), 200);
    }
}

/// Where lists are watched, the grace period of a change begins when discovery is back and sends
/// it.
#[test]
fn watch_is_retried_within_grace_period_during_outage() {
    let endpoint = ScriptedEndpoint::start(|_| ok(""));
    let settings = settings(LONG_MS, "").replace("\"DrainGrace\":2000", "\"DrainGrace\":400");
    let (_node, watch, discovery) = start_node(&settings, &[&endpoint]);
    let down = Instant::now();
    drop(watch);
    for _ in 0..60 {
        discovery
            .next_call()
            .write("HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n");
    }
    // Calls half the grace period apart would take 12 s, and those of a node that backs off to 2 s
    // over a minute.
    assert!(
        down.elapsed() < Duration::from_secs(40),
        "{:?}",
        down.elapsed()
    );
}

#[test]
fn outdated_delta_is_ignored() {
    let [drained, kept, new] =
        ["drained", "kept", "new"].map(|name| ScriptedEndpoint::start(move |_| ok(name)));
    let (node, mut watch, _discovery) = start_node(&settings(LONG_MS, ""), &[&drained, &kept]);
    watch.send_line(&list(
        12,
        false,
        &[entry("s-0", drained.address, "terminating")],
    ));
    watch.send_line(&list(
        11,
        false,
        &[entry("s-0", drained.address, "in_service")],
    ));
    // Lists are applied in order: once the last one shows, all before it have been applied.
    watch.send_line(&list(13, false, &[entry("s-2", new.address, "in_service")]));
    watch.send_line(&list(
        14,
        false,
        &[entry("s-1", kept.address, "terminating")],
    ));
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
    for settings in [settings(LONG_MS, ""), polling_settings()] {
        for sends_half_a_list in [false, true] {
            let endpoint = ScriptedEndpoint::start(|_| ok("known"));
            let discovery = DiscoveryServer::start();
            let known = entry("s-0", endpoint.address, "in_service");
            let config = config(discovery.address, &settings, 1024);
            let config = config.replace("\"endpoints\":[]", &format!("\"endpoints\":[{known}]"));
            let node = NodeProcess::start(&config, "");
            // Its call is answered with half a list at the most for as long as the test lasts.
            let mut call = discovery.next_call();
            if sends_half_a_list {
                call.start_stream();
                call.write("20\r\n{\"index\":8,\"snapshot\":true,\"endp");
            }
            wait_until(|| node.is_ready(), "readiness");
            assert_eq!(
                node.count_log_lines("endpoint list watch failed"),
                0,
                "before the node gives its call up"
            );
            assert_eq!(node.client().request_read().body, b"known");
            drop(call);
        }
    }
}

#[test]
fn list_of_1024_endpoints_is_applied_whole() {
    const ENDPOINTS: usize = 1024;
    let endpoints = [0, 1].map(|_| ScriptedEndpoint::start(|_| ok("")));
    let (node, mut watch, _discovery) = start_node(&settings(LONG_MS, ""), &[]);
    // Indented, as the longest form; all listen at the same two places.
    let entries: Vec<_> = (0..ENDPOINTS)
        .map(|n| {
            entry(
                &format!("s-{n:08x}"),
                endpoints[n % 2].address,
                "in_service",
            )
        })
        .map(|entry| entry.replace(',', ",\n      "))
        .collect();
    watch.send_line(&list(9, true, &entries));
    let mut client = node.client();
    (0..50).for_each(|_| assert_eq!(client.request_read().status(), 200));
    // All but the last drain: an endpoint dropped from the list would leave none to serve.
    let drain = |n: usize| {
        entry(
            &format!("s-{n:08x}"),
            endpoints[n % 2].address,
            "terminating",
        )
    };
    watch.send_line(&list(
        10,
        false,
        &(0..ENDPOINTS - 1).map(drain).collect::<Vec<_>>(),
    ));
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
