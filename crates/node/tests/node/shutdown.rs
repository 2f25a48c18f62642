//! Graceful shutdown: requests in flight are answered, idle connections close.

use crate::support::*;

/// A node that drains still accepts requests for a while, is not ready, and closes idle
/// connections.
#[test]
fn terminated_node_finishes_requests_in_flight_and_exits() {
    let (gate_keeper, gate) = gate();
    // One for each request that is held: a new node has one attempt in flight at each endpoint.
    let endpoints = [0, 1, 2].map(|_| {
        let gate = gate.clone();
        ScriptedEndpoint::start(move |_| {
            gate.wait();
            ok("held")
        })
    });
    let all = || {
        endpoints
            .iter()
            .map(ScriptedEndpoint::request_count)
            .sum::<usize>()
    };
    let (mut node, _watch, _discovery) = start_node(&settings(LONG_MS, ""), &endpoints.each_ref());
    let (mut held, mut kept, mut idle) = (node.client(), node.client(), node.client());
    assert_eq!(kept.request("GET /health/ready", "", b"").status(), 200);
    assert_eq!(idle.request("GET /health/ready", "", b"").status(), 200);
    held.send_correct();
    wait_until(|| all() == 1, "the request at an endpoint");
    node.terminate();
    node.wait_for_log("shutdown requested");
    // It still accepts and serves, but is not ready.
    assert!(!node.is_ready());
    let (mut late, close) = (node.client(), Some("close"));
    late.send_correct();
    kept.send_correct();
    wait_until(|| all() == 3, "all requests at endpoints");
    (0..3).for_each(|_| gate_keeper.release_one());
    for client in [&mut held, &mut late, &mut kept] {
        let response = client
            .receive()
            .expect("an admitted request has a response");
        assert_eq!(
            (response.status(), response.header("connection")),
            (200, close)
        );
        assert!(client.is_closed());
    }
    assert!(idle.is_closed());
    assert_eq!(node.wait_for_exit().code(), Some(0));
}

/// Idle connections are closed at shutdown, but one with a partly received request is not idle.
#[test]
fn partly_received_request_is_shed_at_shutdown() {
    let endpoint = ScriptedEndpoint::start(|_| ok(""));
    let (mut node, _watch, _discovery) = start_node(&settings(LONG_MS, ""), &[&endpoint]);
    let (mut half, mut idle, mut new) = (node.client(), node.client(), node.client());
    assert_eq!(
        (half.request_read().status(), idle.request_read().status()),
        (200, 200)
    );
    let request = format!(
        "POST /correct/1 HTTP/1.1\r\nHost: s\r\nContent-Length: 5\r\n{}\r\n",
        common_headers(LONG_MS)
    );
    let (begun, rest) = request.split_at(30);
    half.write(begun.as_bytes());
    new.write(begun.as_bytes());
    node.terminate();
    assert!(idle.is_closed(), "idle connections are closed now");
    // It comes too late to be served before the node must exit, so it is shed at once.
    for client in [&mut half, &mut new] {
        client.write(format!("{}sheet", rest).as_bytes());
        let response = client
            .receive()
            .expect("a request that the node has read is answered");
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
    let endpoint = ScriptedEndpoint::start(|_| ScriptedReply::NoResponse);
    let settings = settings(400, "").replace("\"Window\"", "\"LateWorth\":0.5,\"Window\"");
    let (mut node, _watch, _discovery) = start_node(&settings, &[&endpoint]);
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
