//! Graceful shutdown: requests in flight get their final response, idle connections close.

use crate::support::client::{common_headers, request_head};
use crate::support::endpoint::{ScriptedEndpoint, count_requests, ok};
use crate::support::gate::gate;
use crate::support::settings::{LONG_MS, NodeSettings};
use crate::support::setup::{NodeSetup, start_node};
use crate::support::wait::wait_until;

/// A node that drains still accepts requests for a while, is not ready, and closes idle
/// connections.
#[test]
fn terminated_node_finishes_requests_in_flight_and_exits() {
    let (gate_keeper, gate) = gate();
    // One for each request: a new node has one attempt in flight at each endpoint.
    let endpoints = [0, 1, 2].map(|_| {
        let gate = gate.clone();
        ScriptedEndpoint::start(move |_| {
            gate.wait();
            ok("")
        })
    });
    let (mut node, _discovery) = start_node(&endpoints.each_ref());
    let (mut in_flight, mut kept, mut idle) = (node.client(), node.client(), node.client());
    assert_eq!(kept.request("GET /health/ready", "", b"").status(), 200);
    assert_eq!(idle.request("GET /health/ready", "", b"").status(), 200);
    in_flight.send_correct();
    wait_until(
        || count_requests(&endpoints) == 1,
        "the request at an endpoint",
    );
    node.terminate();
    node.wait_for_log("shutdown requested");
    // The node still accepts and serves requests, but is not ready.
    assert!(!node.is_ready());
    let mut late = node.client();
    late.send_correct();
    kept.send_correct();
    wait_until(
        || count_requests(&endpoints) == 3,
        "all requests at endpoints",
    );
    (0..3).for_each(|_| gate_keeper.release_one());
    for client in [&mut in_flight, &mut late, &mut kept] {
        let response = client
            .receive()
            .expect("an admitted request has a response");
        assert_eq!(
            (response.status(), response.header("connection")),
            (200, Some("close"))
        );
        assert!(client.is_closed());
    }
    assert!(idle.is_closed());
    assert_eq!(node.wait_for_exit().code(), Some(0));
}

/// Idle connections are closed at shutdown, but one with a partly received request is not idle.
#[test]
fn partly_received_request_is_shed_at_shutdown() {
    let endpoint = ScriptedEndpoint::serving("");
    let (mut node, _discovery) = start_node(&[&endpoint]);
    let (mut half, mut idle, mut new) = (node.client(), node.client(), node.client());
    assert_eq!(
        (half.request_read().status(), idle.request_read().status()),
        (200, 200)
    );
    let headers = format!("Content-Length: 5\r\n{}", common_headers(LONG_MS));
    let request = request_head("POST /correct/1", &headers);
    let (begun, rest) = request.split_at(30);
    half.write(begun.as_bytes());
    new.write(begun.as_bytes());
    node.terminate();
    assert!(idle.is_closed(), "idle connections are closed now");
    // The request is complete too late to be served before the node must exit, and is shed.
    for client in [&mut half, &mut new] {
        client.write(format!("{rest}sheet").as_bytes());
        let response = client
            .receive()
            .expect("a final response to a request that the node has read");
        assert_eq!(
            (response.status(), response.header("connection")),
            (503, Some("close"))
        );
        assert_eq!(response.header("retry-after"), Some("1.500"));
    }
    assert_eq!(node.wait_for_exit().code(), Some(0));
    assert_eq!(endpoint.request_count(), 2);
}

/// A client whose deadline is after that of its class is owed a final response all the same.
#[test]
fn request_in_flight_at_forced_exit_gets_response() {
    let endpoint = ScriptedEndpoint::silent();
    let settings = NodeSettings {
        objective_ms: 400,
        late_weight: Some(0.5),
        ..NodeSettings::default()
    };
    let (mut node, _discovery) = NodeSetup::with_settings(settings).start(&[&endpoint]);
    let mut client = node.client();
    client.send_correct();
    endpoint.next_request();
    node.terminate();
    node.wait_for_log("shutdown requested");
    node.terminate();
    assert_eq!(
        client
            .receive()
            .expect("a response before the end")
            .status(),
        504
    );
    assert_eq!(node.wait_for_exit().code(), Some(0));
}
