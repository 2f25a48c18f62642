//! Clients that send no whole request, beside clients that do.

use crate::support::*;
use std::time::{Duration, Instant};

/// A head of 500 bytes or so, and no end of it.
const HALF_HEAD: &str = "POST /correct/1 HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: 1";

const HALF_BODY: &str = "POST /correct/1 HTTP/1.1\r\nHost: s\r\nContent-Length: 5\r\n";

#[test]
fn incomplete_request_times_out_and_idle_connection_does_not() {
    let endpoint = ScriptedEndpoint::start(|_| ok(""));
    let (node, _watch, _discovery) = start_node(&settings(LONG_MS, ""), &[&endpoint]);
    let mut idle = node.client();
    assert_eq!(idle.request_read().status(), 200);
    let mut later = node.client();
    assert_eq!(later.request_read().status(), 200);
    let connected = Instant::now();
    let (mut silent, mut head, mut body) = (node.client(), node.client(), node.client());
    head.write(HALF_HEAD.as_bytes());
    body.write(format!("{HALF_BODY}{}\r\nhal", common_headers(5000)).as_bytes());
    later.write(HALF_HEAD.as_bytes());
    assert!(silent.is_closed() && head.is_closed() && later.is_closed());
    // A client whose head was complete gets a reason.
    assert_eq!(body.receive().map(|response| response.status()), Some(408));
    assert!(body.is_closed());
    // The limit is 3 s; the rest is for a slow machine.
    assert!(
        connected.elapsed() < Duration::from_secs(10),
        "{:?}",
        connected.elapsed()
    );
    assert_eq!(idle.request_read().status(), 200);
    assert_eq!(endpoint.request_count(), 3);
}

/// The process is stopped for longer than a client may take; the client was in time.
#[test]
fn request_received_while_process_stopped_gets_response() {
    let endpoint = ScriptedEndpoint::start(|_| ok(""));
    let (node, _watch, _discovery) = start_node(&settings(LONG_MS, ""), &[&endpoint]);
    let mut clients: Vec<Client> = (0..20).map(|_| node.client()).collect();
    let head = |_: &Client| {
        format!(
            "POST /correct/1 HTTP/1.1\r\nHost: s\r\n{}",
            common_headers(LONG_MS)
        )
    };
    let heads: Vec<String> = clients.iter().map(head).collect();
    clients
        .iter_mut()
        .zip(&heads)
        .for_each(|(client, head)| client.write(head.as_bytes()));
    assert!(node.is_ready(), "it has had a turn");
    node.signal("-STOP");
    clients.iter_mut().for_each(|client| client.write(b"\r\n"));
    std::thread::sleep(Duration::from_millis(2500));
    node.signal("-CONT");
    for client in &mut clients {
        assert!(
            client.receive().is_some(),
            "a response, whatever its status"
        );
    }
}

#[test]
fn silent_clients_do_not_displace_active_clients() {
    let endpoint = ScriptedEndpoint::start(|_| ok(""));
    // Room for six clients.
    let (node, _watch, _discovery) =
        start_node_with_descriptors(&settings(LONG_MS, ""), &[&endpoint], 60, "");
    let mut good = [node.client(), node.client()];
    good.iter_mut()
        .for_each(|client| assert_eq!(client.request_read().status(), 200));
    let crowd: Vec<Client> = (0..100).map(|_| node.client()).collect();
    assert_eq!(
        node.client().request_read().status(),
        200,
        "a new one among the crowd"
    );
    good.iter_mut().for_each(|client| {
        assert_eq!(
            client.request_read().status(),
            200,
            "a client that was there before"
        )
    });
    drop(crowd);
}
