//! Clients that disconnect before they get a response.

use crate::support::client::{Client, common_headers, request_bytes, request_head};
use crate::support::discovery::{DiscoveryServer, delta, in_service};
use crate::support::endpoint::{ScriptedEndpoint, ok, response};
use crate::support::gate::reply_gate;
use crate::support::process::NodeProcess;
use crate::support::settings::{LONG_DEADLINE_MS, MAX_BODY_BYTES, NodeSettings};
use crate::support::setup::{NodeSetup, start_node};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::spawn;

/// A latency objective and deadline in milliseconds that is far longer than a test waits for an
/// event.
const FAR_DEADLINE_MS: u64 = 500_000;

/// Returns many requests with bodies of this length.
fn pipelined_requests(count: usize, body_length: usize, budget_ms: u64) -> Vec<u8> {
    let body = vec![b'x'; body_length];
    (0..count)
        .flat_map(|_| request_bytes("POST /correct/1", &common_headers(budget_ms), &body))
        .collect()
}

/// Starts a node whose deadlines do not end an attempt while a test waits.
fn start_node_with_far_deadline(endpoint: &ScriptedEndpoint) -> (NodeProcess, DiscoveryServer) {
    NodeSetup::with_settings(NodeSettings::with_objective(FAR_DEADLINE_MS)).start(&[endpoint])
}

#[test]
fn client_disconnect_cancels_attempt() {
    let endpoint = ScriptedEndpoint::silent();
    let (node, _discovery) = start_node_with_far_deadline(&endpoint);
    let mut client = node.client();
    client.send(
        "POST /correct/1",
        &common_headers(FAR_DEADLINE_MS),
        b"sheet",
    );
    endpoint.next_request();
    drop(client);
    endpoint.next_closed();
    assert!(node.is_ready());
}

/// An HTTP server that does not read ahead does not notice a disconnect while bytes of pipelined
/// requests are unread. The test waits until the node has noticed it and has closed the connection.
/// Only then does it list an endpoint. A marker request shows that no other request arrived there.
#[test]
fn queued_request_of_disconnected_pipelining_client_is_not_sent() {
    for pipelined_count in [1, 400] {
        let (node, mut discovery) = start_node(&[]);
        let mut disconnecting = node.client();
        disconnecting.send_non_idempotent();
        let pipelined: String = (0..pipelined_count)
            .map(|_| request_head("GET /read/1", &common_headers(LONG_DEADLINE_MS)))
            .collect();
        disconnecting.write(pipelined.as_bytes());
        disconnecting.shutdown_write();
        assert!(
            disconnecting.wait_for_close(),
            "connection should close without a response, {pipelined_count} requests pipelined"
        );
        let endpoint = ScriptedEndpoint::serving("served");
        discovery.send_list(&delta(9, &[in_service("s-0", endpoint.address)]));
        let mut marker = node.client();
        assert_eq!(
            marker
                .request("GET /read/marker", &common_headers(LONG_DEADLINE_MS), b"")
                .body,
            b"served"
        );
        assert_eq!(
            endpoint.next_request().message.start_line,
            "GET /read/marker HTTP/1.1"
        );
        assert_eq!(endpoint.request_count(), 1);
    }
}

#[test]
fn disconnect_with_pipelined_requests_cancels_attempt() {
    let endpoint = ScriptedEndpoint::silent();
    let (node, _discovery) = start_node_with_far_deadline(&endpoint);
    let mut client = node.client();
    client.send(
        "POST /correct/1",
        &common_headers(FAR_DEADLINE_MS),
        b"sheet",
    );
    client.send(
        "POST /correct/2",
        &common_headers(FAR_DEADLINE_MS),
        b"sheet",
    );
    endpoint.next_request();
    client.shutdown_write();
    endpoint.next_closed();
    assert!(client.wait_for_close() && node.is_ready());
    assert_eq!(endpoint.request_count(), 1);
}

/// Guards against: the close of a client that had sent more than the node and the kernel hold went
/// unnoticed, and its requests were sent on afterwards.
#[test]
fn disconnect_behind_more_bytes_than_are_held_cancels_attempt() {
    for (count, body_length) in [(400, 2000), (300, MAX_BODY_BYTES)] {
        let endpoint = ScriptedEndpoint::silent();
        let (node, _discovery) = start_node_with_far_deadline(&endpoint);
        let mut client = node.client();
        let requests = pipelined_requests(count, body_length, FAR_DEADLINE_MS);
        // In a thread of its own, since the write ends only once the node has read most of it.
        let writer = spawn(move || client.write(&requests));
        endpoint.next_request();
        endpoint.next_closed();
        writer.join().expect("client should write its requests");
        assert!(node.is_ready());
        assert_eq!(endpoint.request_count(), 1, "{count} requests");
    }
}

/// Reads a number of responses, and asserts that each is served or shed. Returns how many are
/// served.
fn receive_served_or_shed(client: &mut Client, count: usize) -> usize {
    let mut served = 0;
    for number in 0..count {
        let response = client.receive_response();
        match response.status() {
            200 => served += 1,
            503 => {}
            _ => panic!("response {number}: {response:?}"),
        }
    }
    served
}

/// Guards against: requests that the node reads only to notice the close behind them got no
/// response, although their client was still connected.
#[test]
fn each_request_of_connected_pipelining_client_gets_response() {
    for (count, body_length) in [(10, 100), (400, 2000), (300, MAX_BODY_BYTES)] {
        let (releaser, gate) = reply_gate();
        let is_first = AtomicBool::new(true);
        let endpoint = ScriptedEndpoint::start(move |_| {
            if is_first.swap(false, Ordering::SeqCst) {
                gate.wait();
            }
            ok("served")
        });
        let (node, _discovery) = start_node(&[&endpoint]);
        let mut client = node.client();
        client.write(&pipelined_requests(count, body_length, LONG_DEADLINE_MS));
        endpoint.next_request();
        releaser.release_one();
        assert_eq!(client.receive_response().status(), 200, "{count} requests");
        let served = 1 + receive_served_or_shed(&mut client, count - 1);
        assert_eq!(endpoint.request_count(), served, "{count} requests");
        let holds_all = count * body_length < 8 * 1024;
        assert_eq!(served == count, holds_all, "{served} of {count} served");
        // Once all have a response, the connection is served as before.
        assert_eq!(client.request_idempotent().status(), 200);
    }
}

/// Guards against: a request ran twice when its call id came again after its client had left, since
/// the endpoint may still work on it.
#[test]
fn call_id_of_disconnected_client_is_not_sent_again() {
    let endpoint = ScriptedEndpoint::silent();
    let (node, _discovery) = start_node_with_far_deadline(&endpoint);
    for (method_and_target, body) in [("POST /correct/1", &b"sheet"[..]), ("GET /read/1", b"")] {
        let headers = common_headers(FAR_DEADLINE_MS);
        let mut client = node.client();
        client.send(method_and_target, &headers, body);
        endpoint.next_request();
        drop(client);
        endpoint.next_closed();
        let repeated = node.client().request(method_and_target, &headers, body);
        assert_eq!(repeated.status(), 409, "{method_and_target}");
    }
    assert_eq!(endpoint.request_count(), 2);
}

/// Guards against: a request that got no answer in time, and may still run, ran again when its call
/// id came again.
#[test]
fn call_id_of_failed_request_is_not_sent_again() {
    let (releaser, gate) = reply_gate();
    let endpoint = ScriptedEndpoint::start(move |_| {
        gate.wait();
        response("500 Oops", "", b"")
    });
    let (node, _discovery) = start_node(&[&endpoint]);
    let mut client = node.client();
    let headers = common_headers(LONG_DEADLINE_MS);
    client.send("POST /correct/1", &headers, b"sheet");
    endpoint.next_request();
    releaser.release_one();
    assert_eq!(client.receive_response().status(), 502);
    let repeated = client.request("POST /correct/1", &headers, b"sheet");
    assert_eq!(repeated.status(), 409);
    assert_eq!(endpoint.request_count(), 1);
}
