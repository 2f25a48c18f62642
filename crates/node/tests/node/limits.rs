//! The limits of descriptors and memory.

use crate::support::*;

#[test]
fn idle_client_connection_is_evicted_for_new_client() {
    let endpoint = ScriptedEndpoint::start(|_| ok(""));
    // 52 descriptors, 48 of them reserved: two connections for each side.
    let (node, _watch, _discovery) =
        start_node_with_descriptors(&settings(LONG_MS, ""), &[&endpoint], 52, "");
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
    let (node, _watch, _discovery) =
        start_node_with_descriptors(&settings(LONG_MS, ""), &endpoints.each_ref(), 52, "");
    let mut busy = [node.client(), node.client()];
    busy.iter_mut().for_each(Client::send_correct);
    wait_until(
        || {
            endpoints
                .iter()
                .map(ScriptedEndpoint::request_count)
                .sum::<usize>()
                == 2
        },
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
    let endpoint = ScriptedEndpoint::start(|_| ok(""));
    // So few that not even what the node keeps for itself is left.
    let (node, _watch, _discovery) =
        start_node_with_descriptors(&settings(LONG_MS, ""), &[&endpoint], 1024, "ulimit -n 14; ");
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
    let (old, new) = (
        ScriptedEndpoint::start(|_| ok("old")),
        ScriptedEndpoint::start(|_| ok("new")),
    );
    let shell = "ulimit -n 40; ";
    let (node, watch, discovery) =
        start_node_with_descriptors(&settings(LONG_MS, ""), &[&old], 1024, shell);
    assert_eq!(node.client().request_read().body, b"old");
    // Discovery goes down, and while it is, more idle clients come than there are descriptors.
    drop(watch);
    let mut down = discovery.next_call();
    let crowd: Vec<Client> = (0..120).map(|_| node.client()).collect();
    assert!(
        node.is_ready(),
        "a client that comes behind the crowd is served"
    );
    down.write("HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n");
    drop(down);
    // Both the next call to discovery and the connection to an endpoint that is new take a
    // descriptor.
    let mut watch = discovery.next_call();
    watch.start_stream();
    watch.send_line(&list(9, true, &[entry("s-1", new.address, "in_service")]));
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
    let endpoint = ScriptedEndpoint::start(|_| ok(""));
    // 10 MB leave room for 32 clients, and for 16 bodies of the longest.
    let (node, _watch, _discovery) =
        start_node_with_limits(&settings(LONG_MS, ""), &[&endpoint], r#""memory_mb":10"#);
    let half = |node: &NodeProcess| {
        let mut client = node.client();
        let head = "POST /correct/1 HTTP/1.1\r\nHost: s\r\nContent-Length: 65536\r\n";
        client.write(format!("{head}{}\r\nhalf", common_headers(5000)).as_bytes());
        client
    };
    let mut halves: Vec<Client> = (0..17).map(|_| half(&node)).collect();
    let mut responses = halves
        .iter_mut()
        .map(|client| client.receive().expect("a response"));
    let shed = responses
        .by_ref()
        .find(|response| response.status() != 408)
        .expect("one without room");
    assert_eq!(
        (shed.status(), shed.header("retry-after")),
        (503, Some("1.500"))
    );
    assert!(responses.all(|response| response.status() == 408));
    // The room is free again.
    assert_eq!(
        node.client()
            .request("POST /correct/1", &common_headers(5000), &[b'x'; 65536])
            .status(),
        200
    );
}

/// Over a day there are ever new connections, ids, keys and endpoints, most of these at the
/// addresses of removed ones. None of them may leave memory behind.
#[test]
fn memory_does_not_grow_with_past_traffic() {
    let endpoint = ScriptedEndpoint::start(|_| ok(""));
    let (node, mut watch, _discovery) = start_node(&settings(600_000, ""), &[&endpoint]);
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
                    entry(&new, endpoint.address, "in_service"),
                    entry(&old, endpoint.address, "terminated"),
                ];
                watch.send_line(&list(9 + number, false, &changes));
            }
            // A request with a deadline in ten minutes leaves nothing behind for ten minutes.
            let response = client.request(
                &format!("POST /correct/{number}{i}"),
                &common_headers(600_000),
                b"sheet",
            );
            assert_eq!(response.status(), 200);
        }
        node.memory_kb()
    };
    let before = round(2000);
    let after = round(6000);
    assert!(after < before + 700, "{before} KB, and later {after} KB");
}
