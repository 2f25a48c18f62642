//! Graceful shutdown: requests in flight get their final response, and idle connections are closed.

use crate::support::client::{common_headers, request_head};
use crate::support::endpoint::{ScriptedEndpoint, count_requests, ok};
use crate::support::gate::reply_gate;
use crate::support::settings::{LONG_DEADLINE_MS, NodeSettings};
use crate::support::setup::{NodeSetup, start_node};
use crate::support::wait::wait_until;

/// After SIGTERM, the node is not ready, but accepts new connections and requests for a while. It
/// closes idle connections, and every other connection after its response.
#[test]
fn terminated_node_finishes_requests_in_flight_and_exits() {
    let (releaser, gate) = reply_gate();
    // One endpoint for each request, because a new node allows each endpoint one attempt in flight.
    let endpoints = [0, 1, 2].map(|_| {
        let gate = gate.clone();
        ScriptedEndpoint::start(move |_| {
            gate.wait();
            ok("")
        })
    });
    let (mut node, _discovery) = start_node(&endpoints.each_ref());
    let (mut in_flight, mut kept_open, mut idle) = (node.client(), node.client(), node.client());
    assert_eq!(
        kept_open.request("GET /health/ready", "", b"").status(),
        200
    );
    assert_eq!(idle.request("GET /health/ready", "", b"").status(), 200);
    in_flight.send_non_idempotent();
    wait_until(
        || count_requests(&endpoints) == 1,
        "the first request to reach an endpoint",
    );
    node.terminate();
    node.wait_for_log("shutdown requested");
    assert!(!node.is_ready());
    let mut late = node.client();
    late.send_non_idempotent();
    kept_open.send_non_idempotent();
    wait_until(
        || count_requests(&endpoints) == 3,
        "all requests to reach endpoints",
    );
    (0..3).for_each(|_| releaser.release_one());
    for client in [&mut in_flight, &mut late, &mut kept_open] {
        let response = client
            .receive()
            .expect("admitted request should get a response");
        assert_eq!(
            (response.status(), response.header("connection")),
            (200, Some("close"))
        );
        assert!(client.wait_for_close());
    }
    assert!(idle.wait_for_close());
    assert_eq!(node.wait_for_exit().code(), Some(0));
}

/// A connection on which the node has received part of a request is not idle, so that the node must
/// not close it at shutdown without a response.
#[test]
fn partly_received_request_is_shed_at_shutdown() {
    let endpoint = ScriptedEndpoint::serving("");
    let (mut node, _discovery) = start_node(&[&endpoint]);
    let (mut second_request, mut idle, mut first_request) =
        (node.client(), node.client(), node.client());
    assert_eq!(
        (
            second_request.request_idempotent().status(),
            idle.request_idempotent().status()
        ),
        (200, 200)
    );
    let headers = format!("Content-Length: 5\r\n{}", common_headers(LONG_DEADLINE_MS));
    let request = request_head("POST /correct/1", &headers);
    let (first_part, rest) = request.split_at(30);
    second_request.write(first_part.as_bytes());
    first_request.write(first_part.as_bytes());
    node.terminate();
    assert!(
        idle.wait_for_close(),
        "idle connections should be closed once the node sheds requests"
    );
    // The rest arrives too late for the request to be served before the node must exit. The node no
    // longer serves further requests by then, but sheds them.
    for client in [&mut second_request, &mut first_request] {
        client.write(format!("{rest}sheet").as_bytes());
        let response = client
            .receive()
            .expect("partly received request should get a final response");
        assert_eq!(
            (response.status(), response.header("connection")),
            (503, Some("close"))
        );
        assert_eq!(response.header("retry-after"), Some("1.500"));
    }
    assert_eq!(node.wait_for_exit().code(), Some(0));
    assert_eq!(endpoint.request_count(), 2);
}

/// After SIGTERM, the node waits for requests in flight for the longest deadline of any class, then
/// ends them and exits. A client that would wait for longer must still get a final response. A
/// second SIGTERM changes nothing.
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
    client.send_non_idempotent();
    endpoint.next_request();
    node.terminate();
    node.wait_for_log("shutdown requested");
    node.terminate();
    assert_eq!(
        client
            .receive()
            .expect("request should get a response before the node exits")
            .status(),
        504
    );
    assert_eq!(node.wait_for_exit().code(), Some(0));
}
