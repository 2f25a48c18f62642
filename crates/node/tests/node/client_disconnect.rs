//! Clients that disconnect before their response.

use crate::support::client::{common_headers, request_head};
use crate::support::discovery::{DiscoveryServer, delta, in_service};
use crate::support::endpoint::ScriptedEndpoint;
use crate::support::process::NodeProcess;
use crate::support::settings::{LONG_MS, NodeSettings};
use crate::support::setup::{NodeSetup, start_node};

/// A latency objective and deadline far beyond the time that a test waits, in milliseconds.
const FAR_MS: u64 = 500_000;

/// Starts a node whose deadlines end no attempt while a test waits.
fn start_node_with_far_deadline(endpoint: &ScriptedEndpoint) -> (NodeProcess, DiscoveryServer) {
    NodeSetup::with_settings(NodeSettings::with_objective(FAR_MS)).start(&[endpoint])
}

#[test]
fn client_disconnect_cancels_attempt() {
    let endpoint = ScriptedEndpoint::silent();
    let (node, _discovery) = start_node_with_far_deadline(&endpoint);
    let mut client = node.client();
    client.send("POST /correct/1", &common_headers(FAR_MS), b"sheet");
    endpoint.next_request();
    drop(client);
    endpoint.next_closed();
    assert!(node.is_ready());
}

/// Bytes that wait behind a request hide from HTTP that its client has disconnected. The node
/// closes the connection once it has seen that. Only then is an endpoint listed, and a marker
/// request shows that nothing arrived there before it.
#[test]
fn queued_request_of_disconnected_pipelining_client_is_not_sent() {
    for behind in [1, 400] {
        let (node, mut discovery) = start_node(&[]);
        let mut leaving = node.client();
        leaving.send_correct();
        let pipelined: String = (0..behind)
            .map(|_| request_head("GET /read/1", &common_headers(LONG_MS)))
            .collect();
        leaving.write(pipelined.as_bytes());
        leaving.shutdown_write();
        assert!(
            leaving.is_closed(),
            "no response, with {behind} requests pipelined"
        );
        let endpoint = ScriptedEndpoint::serving("served");
        discovery.send_list(&delta(9, &[in_service("s-0", endpoint.address)]));
        let mut marker = node.client();
        assert_eq!(
            marker
                .request("GET /read/marker", &common_headers(LONG_MS), b"")
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
    client.send("POST /correct/1", &common_headers(FAR_MS), b"sheet");
    client.send("POST /correct/2", &common_headers(FAR_MS), b"sheet");
    endpoint.next_request();
    client.shutdown_write();
    endpoint.next_closed();
    assert!(client.is_closed() && node.is_ready());
    assert_eq!(endpoint.request_count(), 1);
}
