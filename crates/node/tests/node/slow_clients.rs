//! Clients that send incomplete requests or none, and their effect on other clients.

use crate::support::client::{Client, common_headers, request_head};
use crate::support::endpoint::{ScriptedEndpoint, ok};
use crate::support::gate::reply_gate;
use crate::support::settings::LONG_DEADLINE_MS;
use crate::support::setup::{NodeSetup, start_node};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The first part of a request head.
const INCOMPLETE_HEAD: &str = "POST /correct/1 HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: 1";

const LINE_END: &str = "\r\n";

/// How long the process is stopped: longer than the 2 s that a client may take to send a request
/// (the node's read timeout).
const STOP_DURATION: Duration = Duration::from_millis(2500);

/// How long the node may take to close slow clients. It closes them within 3 s: its read timeout is
/// 2 s, and is checked every 0.1 s. The rest is a margin for slow machines.
const MAX_CLOSE_TIME: Duration = Duration::from_secs(10);

#[test]
fn incomplete_request_times_out_and_idle_connection_does_not() {
    let endpoint = ScriptedEndpoint::serving("");
    let (node, _discovery) = start_node(&[&endpoint]);
    let mut idle = node.client();
    assert_eq!(idle.request_idempotent().status(), 200);
    let mut slow_second_request = node.client();
    assert_eq!(slow_second_request.request_idempotent().status(), 200);
    let connected = Instant::now();
    let (mut silent, mut slow_head, mut slow_body) = (node.client(), node.client(), node.client());
    slow_head.write(INCOMPLETE_HEAD.as_bytes());
    let body_headers = format!("Content-Length: 5\r\n{}", common_headers(5000));
    let body_head = request_head("POST /correct/1", &body_headers);
    slow_body.write(format!("{body_head}hal").as_bytes());
    slow_second_request.write(INCOMPLETE_HEAD.as_bytes());
    assert!(silent.wait_for_close());
    assert!(slow_head.wait_for_close());
    assert!(slow_second_request.wait_for_close());
    // Only a client that has sent a complete head gets a response.
    assert_eq!(
        slow_body.receive().map(|response| response.status()),
        Some(408)
    );
    assert!(slow_body.wait_for_close());
    assert!(
        connected.elapsed() < MAX_CLOSE_TIME,
        "the clients were closed after {:?}",
        connected.elapsed()
    );
    assert_eq!(idle.request_idempotent().status(), 200);
    assert_eq!(endpoint.request_count(), 3);
}

/// Guards against: a part of a request that arrived together with the request before it was unknown
/// to the node, and its client got neither an error nor a close.
#[test]
fn incomplete_request_behind_another_times_out() {
    let body_head = request_head(
        "POST /correct/1",
        &format!("Content-Length: 60000\r\n{}", common_headers(5000)),
    );
    // The last ones are longer than what the node holds behind a request that is being served.
    for incomplete in [
        INCOMPLETE_HEAD.to_owned(),
        format!("{body_head}{}", "x".repeat(50_000)),
        "no HTTP\r\n\r\n".repeat(5_000),
    ] {
        let (releaser, gate) = reply_gate();
        let endpoint = ScriptedEndpoint::start(move |_| {
            gate.wait();
            ok("")
        });
        let (node, _discovery) = start_node(&[&endpoint]);
        let mut client = node.client();
        let first = request_head("GET /read/1", &common_headers(LONG_DEADLINE_MS));
        client.write(format!("{first}{incomplete}").as_bytes());
        endpoint.next_request();
        releaser.release_one();
        assert_eq!(client.receive_response().status(), 200);
        let answered = Instant::now();
        while client.receive().is_some() {}
        assert!(
            answered.elapsed() < MAX_CLOSE_TIME,
            "the client was closed after {:?}",
            answered.elapsed()
        );
        assert_eq!(endpoint.request_count(), 1);
    }
}

/// The process is stopped for longer than the node's read timeout. The last bytes of the requests
/// arrive in time, but the node can read them only after the timeout.
#[test]
fn request_received_while_process_stopped_gets_response() {
    let endpoint = ScriptedEndpoint::serving("");
    let (node, _discovery) = start_node(&[&endpoint]);
    let mut clients: Vec<Client> = (0..20).map(|_| node.client()).collect();
    for client in &mut clients {
        let head = request_head("POST /correct/1", &common_headers(LONG_DEADLINE_MS));
        let without_end = head
            .strip_suffix(LINE_END)
            .expect("head should end with an empty line");
        client.write(without_end.as_bytes());
    }
    // The node runs on one thread and accepts connections in order. When it responds to the
    // readiness check, which comes last, it is assumed to have read the heads sent before.
    assert!(
        node.is_ready(),
        "node should be ready and have read the heads"
    );
    node.signal("-STOP");
    clients
        .iter_mut()
        .for_each(|client| client.write(LINE_END.as_bytes()));
    sleep(STOP_DURATION);
    node.signal("-CONT");
    for client in &mut clients {
        assert!(
            client.receive().is_some(),
            "request should get a response, whatever its status"
        );
    }
}

#[test]
fn silent_clients_do_not_displace_active_clients() {
    let endpoint = ScriptedEndpoint::serving("");
    // Of 60 descriptors, the node reserves 48 (see `config/capacity.rs`). Half of the other 12 are
    // for clients, so it holds at most six client connections.
    let (node, _discovery) = NodeSetup::default().sockets(60).start(&[&endpoint]);
    let mut active = [node.client(), node.client()];
    for client in &mut active {
        assert_eq!(client.request_idempotent().status(), 200);
    }
    let silent: Vec<Client> = (0..100).map(|_| node.client()).collect();
    assert_eq!(
        node.client().request_idempotent().status(),
        200,
        "a client that connects after the silent ones"
    );
    for client in &mut active {
        assert_eq!(
            client.request_idempotent().status(),
            200,
            "a client that connected before the silent ones"
        );
    }
    drop(silent);
}

/// Guards against: clients that stop within a request kept every place until the read timeout, and
/// requests on new connections got no response in time.
#[test]
fn stopped_requests_are_rejected_to_make_room_for_new_clients() {
    let endpoint = ScriptedEndpoint::serving("");
    // Room for at most six client connections, as above.
    let (node, _discovery) = NodeSetup::default().sockets(60).start(&[&endpoint]);
    let body_headers = format!("Content-Length: 5\r\n{}", common_headers(5000));
    let incomplete_body = request_head("POST /correct/1", &body_headers) + "hal";
    let mut stopped = Vec::new();
    for number in 0..40 {
        let mut client = node.client();
        let bytes = [INCOMPLETE_HEAD, &incomplete_body][number % 2];
        client.write(bytes.as_bytes());
        stopped.push(client);
    }
    assert_eq!(node.client().request_idempotent().status(), 200);
    let first_responses: Vec<_> = stopped[..4]
        .iter_mut()
        .map(|client| client.receive_response().status())
        .collect();
    assert_eq!(first_responses, [503; 4]);
    assert_eq!(endpoint.request_count(), 1);
}
