//! The limits of file descriptors and memory.

use crate::support::client::{Client, common_headers, request_head};
use crate::support::discovery::{delta, in_service, removed, snapshot};
use crate::support::endpoint::{ScriptedEndpoint, count_requests, ok};
use crate::support::gate::reply_gate;
use crate::support::process::NodeProcess;
use crate::support::settings::{MAX_BODY_BYTES, NodeSettings};
use crate::support::setup::NodeSetup;
use crate::support::wait::wait_until;

/// The number of descriptors within the limit that the node reserves for uses other than
/// connections.
const RESERVED_DESCRIPTORS: u32 = 48;
const TEN_MINUTES_MS: u64 = 600_000;
/// The maximum growth of memory that does not count as a leak.
const MAX_GROWTH_KIB: usize = 700;

#[test]
fn idle_client_connection_is_evicted_for_new_client() {
    let endpoint = ScriptedEndpoint::serving("");
    // Leaves two client connections and two endpoint connections.
    let (node, _discovery) = NodeSetup::default()
        .sockets(RESERVED_DESCRIPTORS + 4)
        .start(&[&endpoint]);
    let mut clients = Vec::new();
    for _ in 0..20 {
        let mut client = node.client();
        assert_eq!(client.request_idempotent().status(), 200);
        clients.push(client);
    }
    assert!(clients[0].wait_for_close());
}

#[test]
fn waiting_client_replaces_first_idle_connection() {
    let (releaser, gate) = reply_gate();
    let endpoints = [0, 1].map(|_| {
        let gate = gate.clone();
        ScriptedEndpoint::start(move |message| {
            if message.start_line.contains("/correct/") {
                gate.wait();
            }
            ok("")
        })
    });
    let (node, _discovery) = NodeSetup::default()
        .sockets(RESERVED_DESCRIPTORS + 4)
        .start(&endpoints.each_ref());
    let mut busy = [node.client(), node.client()];
    busy.iter_mut().for_each(Client::send_non_idempotent);
    wait_until(
        || count_requests(&endpoints) == 2,
        "both requests to reach endpoints",
    );
    let mut waiting = node.client();
    waiting.send("GET /health/ready", "", b"");
    // The first response only makes its client connection idle. The node must evict that connection
    // to accept the waiting client.
    releaser.release_one();
    assert_eq!(waiting.receive_response().status(), 200);
    releaser.release_one();
    for client in &mut busy {
        assert_eq!(client.receive_response().status(), 200);
    }
}

#[test]
fn node_out_of_descriptors_recovers_when_some_are_freed() {
    let endpoint = ScriptedEndpoint::serving("");
    // Fewer than the node needs for uses other than connections.
    let (node, _discovery) = NodeSetup::default().open_file_limit(14).start(&[&endpoint]);
    let clients: Vec<Client> = (0..60).map(|_| node.client()).collect();
    node.wait_for_log("cannot accept");
    drop(clients);
    wait_until(
        || node.client().request_idempotent().status() == 200,
        "service after the clients have disconnected",
    );
}

/// If the system allows fewer descriptors than the configuration and more idle clients connect than
/// there are descriptors, the node must still be able to connect to discovery and endpoints and to
/// accept new clients.
#[test]
fn idle_clients_do_not_exhaust_descriptors() {
    let [old, new] = ["old", "new"].map(ScriptedEndpoint::serving);
    let (node, mut discovery) = NodeSetup::default().open_file_limit(40).start(&[&old]);
    assert_eq!(node.client().request_idempotent().body, b"old");
    // While discovery is down, more idle clients connect than there are descriptors.
    discovery.break_watch();
    let mut pending_call = discovery.next_call();
    let idle_clients: Vec<Client> = (0..120).map(|_| node.client()).collect();
    assert!(
        node.is_ready(),
        "a client that connects after the idle ones should be served"
    );
    pending_call.fail();
    drop(pending_call);
    // The next call to discovery and the connection to the new endpoint need a descriptor each.
    discovery.accept_watch();
    discovery.send_list(&snapshot(9, &[in_service("s-1", new.address)]));
    wait_until(
        || node.client().request_idempotent().body == b"new",
        "a response from the new endpoint",
    );
    assert!(node.is_ready());
    assert_eq!(node.count_log_lines("cannot accept"), 0);
    drop(idle_clients);
}

#[test]
fn bodies_stay_within_memory_budget() {
    let endpoint = ScriptedEndpoint::serving("");
    // 10 MB are enough for 32 clients and for 16 bodies of the maximum size.
    let (node, _discovery) = NodeSetup::default()
        .limits(r#""memory_mb":10"#)
        .start(&[&endpoint]);
    let send_partial_body = |node: &NodeProcess| {
        let mut client = node.client();
        let length = format!("Content-Length: {MAX_BODY_BYTES}\r\n");
        let head = request_head("POST /correct/1", &(length + &common_headers(5000)));
        client.write(format!("{head}half").as_bytes());
        client
    };
    let mut clients: Vec<Client> = (0..17).map(|_| send_partial_body(&node)).collect();
    let mut responses = clients.iter_mut().map(Client::receive_response);
    let shed = responses
        .by_ref()
        .find(|response| response.status() != 408)
        .expect("one request should be shed for lack of memory");
    assert_eq!(
        (shed.status(), shed.header("retry-after")),
        (503, Some("1.500"))
    );
    assert!(responses.all(|response| response.status() == 408));
    // The memory of the bodies has been freed.
    assert_eq!(
        node.client()
            .request(
                "POST /correct/1",
                &common_headers(5000),
                &[b'x'; MAX_BODY_BYTES]
            )
            .status(),
        200
    );
}

/// Over a day, a node keeps seeing new connections, call ids, keys and endpoints, most of the
/// endpoints at addresses of removed ones. It must free the memory that each of them took.
#[test]
fn memory_does_not_grow_with_past_traffic() {
    let endpoint = ScriptedEndpoint::serving("");
    let (node, mut discovery) =
        NodeSetup::with_settings(NodeSettings::with_objective(TEN_MINUTES_MS)).start(&[&endpoint]);
    let mut client = node.client();
    let mut number = 0;
    let mut send_requests = |requests: usize| {
        for i in 0..requests {
            if i % 4 == 0 {
                client = node.client();
            }
            if i % 8 == 0 {
                let (old, new) = (format!("s-{number}"), format!("s-{}", number + 1));
                number += 1;
                let changes = [
                    in_service(&new, endpoint.address),
                    removed(&old, endpoint.address),
                ];
                discovery.send_list(&delta(9 + number, &changes));
            }
            // The deadline is so long that state kept until then would be kept for the whole test.
            let response = client.request(
                &format!("POST /correct/{number}{i}"),
                &common_headers(TEN_MINUTES_MS),
                b"sheet",
            );
            assert_eq!(response.status(), 200);
        }
        node.resident_memory_kib()
    };
    let before = send_requests(2000);
    let after = send_requests(6000);
    assert!(
        after < before + MAX_GROWTH_KIB,
        "resident memory grew from {before} KiB to {after} KiB"
    );
}
