//! Clients that disconnect before their response.

use crate::support::*;

#[test]
fn client_disconnect_cancels_attempt() {
    let endpoint = ScriptedEndpoint::start(|_| ScriptedReply::NoResponse);
    // Nothing else ends the attempt while the test waits.
    let (node, _watch, _discovery) = start_node(&settings(500_000, ""), &[&endpoint]);
    let mut client = node.client();
    client.send("POST /correct/1", &common_headers(500_000), b"sheet");
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
        let (node, mut watch, _discovery) = start_node(&settings(LONG_MS, ""), &[]);
        let mut leaving = node.client();
        leaving.send_correct();
        let more = |_| {
            format!(
                "GET /read/1 HTTP/1.1\r\nHost: s\r\n{}\r\n",
                common_headers(LONG_MS)
            )
        };
        leaving.write((0..behind).map(more).collect::<String>().as_bytes());
        leaving.shutdown_write();
        assert!(
            leaving.is_closed(),
            "with {behind} requests behind it, and no response"
        );
        let endpoint = ScriptedEndpoint::start(|_| ok("served"));
        watch.send_line(&list(
            9,
            false,
            &[entry("s-0", endpoint.address, "in_service")],
        ));
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
    let endpoint = ScriptedEndpoint::start(|_| ScriptedReply::NoResponse);
    let (node, _watch, _discovery) = start_node(&settings(500_000, ""), &[&endpoint]);
    let mut client = node.client();
    client.send("POST /correct/1", &common_headers(500_000), b"sheet");
    client.send("POST /correct/2", &common_headers(500_000), b"sheet");
    endpoint.next_request();
    client.shutdown_write();
    endpoint.next_closed();
    assert!(client.is_closed() && node.is_ready());
    assert_eq!(endpoint.request_count(), 1);
}
