//! Clients that send no whole request, beside clients that do.

use crate::support::client::{Client, common_headers, request_head};
use crate::support::endpoint::ScriptedEndpoint;
use crate::support::settings::LONG_MS;
use crate::support::setup::{NodeSetup, start_node};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A head that does not end.
const HALF_HEAD: &str = "POST /correct/1 HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: 1";

const LINE_END: &str = "\r\n";

/// Longer than a client may take for a request.
const STOPPED: Duration = Duration::from_millis(2500);

/// The limit of the node is 3 s; the rest is for a slow machine.
const LONGEST_TIMEOUT: Duration = Duration::from_secs(10);

#[test]
fn incomplete_request_times_out_and_idle_connection_does_not() {
    let endpoint = ScriptedEndpoint::serving("");
    let (node, _discovery) = start_node(&[&endpoint]);
    let mut idle = node.client();
    assert_eq!(idle.request_read().status(), 200);
    let mut later = node.client();
    assert_eq!(later.request_read().status(), 200);
    let connected = Instant::now();
    let (mut silent, mut head, mut body) = (node.client(), node.client(), node.client());
    head.write(HALF_HEAD.as_bytes());
    let body_headers = format!("Content-Length: 5\r\n{}", common_headers(5000));
    let body_head = request_head("POST /correct/1", &body_headers);
    body.write(format!("{body_head}hal").as_bytes());
    later.write(HALF_HEAD.as_bytes());
    assert!(silent.is_closed() && head.is_closed() && later.is_closed());
    // A client whose head was complete gets a response.
    assert_eq!(body.receive().map(|response| response.status()), Some(408));
    assert!(body.is_closed());
    assert!(
        connected.elapsed() < LONGEST_TIMEOUT,
        "{:?}",
        connected.elapsed()
    );
    assert_eq!(idle.request_read().status(), 200);
    assert_eq!(endpoint.request_count(), 3);
}

/// The process is stopped for longer than a client may take; the client was in time.
#[test]
fn request_received_while_process_stopped_gets_response() {
    let endpoint = ScriptedEndpoint::serving("");
    let (node, _discovery) = start_node(&[&endpoint]);
    let mut clients: Vec<Client> = (0..20).map(|_| node.client()).collect();
    for client in &mut clients {
        let head = request_head("POST /correct/1", &common_headers(LONG_MS));
        let without_end = head.strip_suffix(LINE_END).expect("an empty line");
        client.write(without_end.as_bytes());
    }
    assert!(node.is_ready(), "the node has read the heads");
    node.signal("-STOP");
    clients
        .iter_mut()
        .for_each(|client| client.write(LINE_END.as_bytes()));
    sleep(STOPPED);
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
    let endpoint = ScriptedEndpoint::serving("");
    // Six clients at most.
    let (node, _discovery) = NodeSetup::default().sockets(60).start(&[&endpoint]);
    let mut active = [node.client(), node.client()];
    for client in &mut active {
        assert_eq!(client.request_read().status(), 200);
    }
    let crowd: Vec<Client> = (0..100).map(|_| node.client()).collect();
    assert_eq!(
        node.client().request_read().status(),
        200,
        "a new one among the crowd"
    );
    for client in &mut active {
        assert_eq!(
            client.request_read().status(),
            200,
            "a client that was there before"
        );
    }
    drop(crowd);
}
