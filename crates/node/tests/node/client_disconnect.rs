//! Clients that disconnect before they get a response.

use crate::support::client::{common_headers, request_head};
use crate::support::discovery::{DiscoveryServer, delta, in_service};
use crate::support::endpoint::ScriptedEndpoint;
use crate::support::process::NodeProcess;
use crate::support::settings::{LONG_DEADLINE_MS, NodeSettings};
use crate::support::setup::{NodeSetup, start_node};

/// A latency objective and deadline in milliseconds that is far longer than a test waits for an
/// event.
const FAR_DEADLINE_MS: u64 = 500_000;

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
