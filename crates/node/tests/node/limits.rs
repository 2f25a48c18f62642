//! The limits of descriptors and memory.

use crate::support::client::{Client, common_headers, request_head};
use crate::support::discovery::{delta, in_service, removed, snapshot};
use crate::support::endpoint::{ScriptedEndpoint, count_requests, ok};
use crate::support::gate::gate;
use crate::support::process::NodeProcess;
use crate::support::settings::{MAX_BODY_BYTES, NodeSettings};
use crate::support::setup::NodeSetup;
use crate::support::wait::wait_until;

/// The descriptors of the limit that the node keeps for itself.
const RESERVED_DESCRIPTORS: u32 = 48;
const TEN_MINUTES_MS: u64 = 600_000;
/// The growth that is not counted as a leak.
const MOST_GROWTH_KIB: usize = 700;

#[test]
fn idle_client_connection_is_evicted_for_new_client() {
    let endpoint = ScriptedEndpoint::serving("");
    // Two connections for each side.
    let (node, _discovery) = NodeSetup::default()
        .sockets(RESERVED_DESCRIPTORS + 4)
        .start(&[&endpoint]);
    let mut clients = Vec::new();
    for _ in 0..20 {
        let mut client = node.client();
        assert_eq!(client.request_read().status(), 200);
        clients.push(client);
    }
    assert!(clients[0].is_closed());
}

#[test]
fn waiting_client_replaces_first_idle_connection() {
    let (gate_keeper, gate) = gate();
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
    busy.iter_mut().for_each(Client::send_correct);
    wait_until(
        || count_requests(&endpoints) == 2,
        "both requests at endpoints",
    );
    let mut waiting = node.client();
    waiting.send("GET /health/ready", "", b"");
    // The first response frees no connection, it only leaves one idle.
    gate_keeper.release_one();
    assert_eq!(waiting.receive().expect("a response").status(), 200);
    gate_keeper.release_one();
    for client in &mut busy {
        assert_eq!(client.receive().expect("a response").status(), 200);
    }
}

#[test]
fn node_out_of_descriptors_recovers_when_some_are_freed() {
    let endpoint = ScriptedEndpoint::serving("");
    // So few that not even what the node keeps for itself is left.
    let (node, _discovery) = NodeSetup::default().open_file_limit(14).start(&[&endpoint]);
    let crowd: Vec<Client> = (0..60).map(|_| node.client()).collect();
    node.wait_for_log("cannot accept");
    drop(crowd);
    wait_until(
        || node.client().request_read().status() == 200,
        "service after the crowd",
    );
}

/// The system allows fewer descriptors than the configuration, and idle clients stay connected. The
/// node keeps descriptors for discovery, endpoints and new clients.
#[test]
fn idle_clients_do_not_exhaust_descriptors() {
    let [old, new] = ["old", "new"].map(ScriptedEndpoint::serving);
    let (node, mut discovery) = NodeSetup::default().open_file_limit(40).start(&[&old]);
    assert_eq!(node.client().request_read().body, b"old");
    // While discovery is down, more idle clients connect than there are descriptors.
    discovery.break_watch();
    let mut down = discovery.next_call();
    let crowd: Vec<Client> = (0..120).map(|_| node.client()).collect();
    assert!(
        node.is_ready(),
        "a client that connects after the crowd is served"
    );
    down.fail();
    drop(down);
    // The next call to discovery and the connection to the new endpoint take a descriptor each.
    discovery.accept_watch();
    discovery.send_list(&snapshot(9, &[in_service("s-1", new.address)]));
    wait_until(
        || node.client().request_read().body == b"new",
        "a response from the new endpoint",
    );
    assert!(node.is_ready());
    assert_eq!(node.count_log_lines("cannot accept"), 0);
    drop(crowd);
}

#[test]
fn bodies_stay_within_memory_budget() {
    let endpoint = ScriptedEndpoint::serving("");
    // 10 MB leave room for 32 clients, and for 16 bodies of the longest.
    let (node, _discovery) = NodeSetup::default()
        .limits(r#""memory_mb":10"#)
        .start(&[&endpoint]);
    let send_half = |node: &NodeProcess| {
        let mut client = node.client();
        let length = format!("Content-Length: {MAX_BODY_BYTES}\r\n");
        let head = request_head("POST /correct/1", &(length + &common_headers(5000)));
        client.write(format!("{head}half").as_bytes());
        client
    };
    let mut halves: Vec<Client> = (0..17).map(|_| send_half(&node)).collect();
    let mut responses = halves
        .iter_mut()
        .map(|client| client.receive().expect("a response"));
    let shed = responses
        .by_ref()
        .find(|response| response.status() != 408)
        .expect("one without memory");
    assert_eq!(
        (shed.status(), shed.header("retry-after")),
        (503, Some("1.500"))
    );
    assert!(responses.all(|response| response.status() == 408));
    // The memory is available again.
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

/// Over a day there are ever new connections, ids, keys and endpoints, most of these at the
/// addresses of removed ones. None of them may leave memory behind.
#[test]
fn memory_does_not_grow_with_past_traffic() {
    let endpoint = ScriptedEndpoint::serving("");
    let (node, mut discovery) =
        NodeSetup::with_settings(NodeSettings::with_objective(TEN_MINUTES_MS)).start(&[&endpoint]);
    let mut client = node.client();
    let mut number = 0;
    let mut round = |requests: usize| {
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
            // State that is kept until the deadline would be kept for the whole test.
            let response = client.request(
                &format!("POST /correct/{number}{i}"),
                &common_headers(TEN_MINUTES_MS),
                b"sheet",
            );
            assert_eq!(response.status(), 200);
        }
        node.resident_memory_kib()
    };
    let before = round(2000);
    let after = round(6000);
    assert!(
        after < before + MOST_GROWTH_KIB,
        "{before} KiB, and later {after} KiB"
    );
}
