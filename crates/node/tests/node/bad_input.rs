//! Malformed requests and configurations get an error and reach no endpoint.

use crate::support::client::{common_headers, request_head};
use crate::support::config::NodeConfig;
use crate::support::endpoint::{ScriptedEndpoint, ok};
use crate::support::gate::gate;
use crate::support::message::Message;
use crate::support::process::node_command;
use crate::support::settings::{LONG_MS, MAX_BODY_BYTES, NodeSettings};
use crate::support::setup::start_node;

const KEY: &str = "Idempotency-Key: 5c0f\r\n";

/// Asserts that a response is an error that the client has caused, and promises nothing about a
/// retry.
fn assert_client_error(response: &Message, case: &str) {
    let status = response.status();
    assert!(
        (400..500).contains(&status) && status != 429,
        "{case}: {response:?}"
    );
}

#[test]
fn malformed_request_gets_error_and_reaches_no_endpoint() {
    let endpoint = ScriptedEndpoint::serving("");
    let (node, _discovery) = start_node(&[&endpoint]);
    let good = || common_headers(5000);
    let without = |name: &str| {
        good()
            .split_inclusive("\r\n")
            .filter(|line| !line.starts_with(name))
            .collect::<String>()
    };
    let with = |name: &str, value: &str| format!("{}{name}: {value}\r\n", without(name));
    let long = "i".repeat(5000);
    let cases: [(&str, String, Vec<u8>); 22] = [
        ("GET /nothing/1", good(), vec![]),
        ("GET /", good(), vec![]),
        ("OPTIONS *", good(), vec![]),
        ("POST /read/1", good(), vec![]),
        ("GET /correct/1", good(), vec![]),
        ("DELETE /read/1", good(), vec![]),
        ("GET /read/1", good(), b"body".to_vec()),
        ("POST /submit/1", good(), vec![]),
        ("GET /read/1", without("X-Call-Id"), vec![]),
        ("GET /read/1", with("X-Call-Id", ""), vec![]),
        ("GET /read/1", with("X-Call-Id", &long), vec![]),
        ("GET /read/1", without("X-Caller"), vec![]),
        ("GET /read/1", with("X-Caller", "nobody"), vec![]),
        ("GET /read/1", without("X-Budget-Ms"), vec![]),
        ("GET /read/1", with("X-Budget-Ms", "0"), vec![]),
        ("GET /read/1", with("X-Budget-Ms", "-5"), vec![]),
        ("GET /read/1", with("X-Budget-Ms", "soon"), vec![]),
        ("GET /read/1", with("X-Budget-Ms", "1e3"), vec![]),
        (
            "GET /read/1",
            with("X-Budget-Ms", "18446744073709551616"),
            vec![],
        ),
        (
            "GET /read/1",
            with("X-Budget-Ms", "18446744073709551615"),
            vec![],
        ),
        ("POST /correct/1", good(), vec![b'x'; MAX_BODY_BYTES + 1]),
        ("POST /submit/1", good() + KEY, vec![b'x'; 500_000]),
    ];
    for (start, headers, body) in cases {
        let response = node.client().request(start, &headers, &body);
        assert_client_error(&response, &format!("{start} {headers}"));
    }
    assert_eq!(endpoint.request_count(), 0);
    // The longest body that is allowed is forwarded.
    let response = node
        .client()
        .request("POST /correct/1", &good(), &vec![b'x'; MAX_BODY_BYTES]);
    assert_eq!(
        (
            response.status(),
            endpoint.next_request().message.body.len()
        ),
        (200, MAX_BODY_BYTES)
    );
}

/// The text is the whole body of the response, and names the header that is missing or unusable.
#[test]
fn request_without_usable_budget_is_told_the_header_by_name() {
    let endpoint = ScriptedEndpoint::serving("");
    let (node, _discovery) = start_node(&[&endpoint]);
    let headers = common_headers(5000);
    let without_budget: String = headers
        .split_inclusive("\r\n")
        .filter(|line| !line.starts_with("X-Budget-Ms"))
        .collect();
    let unusable_budget = format!("{without_budget}X-Budget-Ms: soon\r\n");
    for headers in [without_budget, unusable_budget] {
        let response = node.client().request("GET /read/1", &headers, b"");
        assert_eq!(response.status(), 400, "{headers}");
        assert_eq!(
            String::from_utf8_lossy(&response.body),
            "no X-Budget-Ms that makes sense",
            "{headers}"
        );
    }
    assert_eq!(endpoint.request_count(), 0);
}

/// Beside a length, Transfer-Encoding may hide a second request in the body of the first. Nothing
/// that follows on the connection is served.
#[test]
fn transfer_encoding_is_rejected_and_connection_closed() {
    let endpoint = ScriptedEndpoint::serving("");
    let (node, _discovery) = start_node(&[&endpoint]);
    let (length, encoding) = ("Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n");
    let hidden = request_head("GET /read/1", &common_headers(5000));
    for framing in [
        [length, encoding].concat(),
        [encoding, length].concat(),
        encoding.to_owned(),
    ] {
        let mut client = node.client();
        let headers = common_headers(5000) + &framing;
        let head = request_head("POST /correct/1", &headers);
        client.write(format!("{head}0\r\n\r\n{hidden}").as_bytes());
        assert_eq!(
            client.receive().map(|response| response.status()),
            Some(411),
            "{framing}"
        );
        assert!(client.is_closed());
    }
    assert_eq!(endpoint.request_count(), 0);
}

#[test]
fn connection_closes_after_malformed_request() {
    let endpoint = ScriptedEndpoint::serving("");
    let (node, _discovery) = start_node(&[&endpoint]);
    let good = common_headers(5000);
    for start in ["GET /nothing/1", "POST /submit/1", "DELETE /read/1"] {
        let mut client = node.client();
        client.send(start, &good, b"");
        client.send("GET /read/1", &common_headers(5000), b"");
        assert_client_error(&client.receive().expect("an error"), start);
        assert!(client.is_closed(), "{start}");
    }
    assert_eq!(endpoint.request_count(), 0);
}

#[test]
fn oversized_body_is_rejected_before_it_arrives() {
    let endpoint = ScriptedEndpoint::serving("");
    let (node, _discovery) = start_node(&[&endpoint]);
    for length in [
        "65537",
        "60000000",
        "18446744073709551615",
        "99999999999999999999",
        "-1",
        "ten",
    ] {
        let mut client = node.client();
        let headers = format!("{}Content-Length: {length}\r\n", common_headers(5000));
        client.write(request_head("POST /correct/1", &headers).as_bytes());
        let response = client.receive().expect("an error");
        assert_client_error(&response, length);
        assert_ne!(response.status(), 408, "{length}");
        assert!(client.is_closed(), "{length}");
    }
    assert_eq!(endpoint.request_count(), 0);
}

#[test]
fn duplicate_header_is_rejected() {
    let endpoint = ScriptedEndpoint::serving("");
    let (node, _discovery) = start_node(&[&endpoint]);
    for twice in [
        "X-Call-Id: 2\r\n",
        "X-Budget-Ms: 5000\r\n",
        KEY,
        "X-Caller: acme\r\n",
    ] {
        let headers = format!("{}{KEY}{twice}", common_headers(5000));
        assert_eq!(
            node.client()
                .request("POST /submit/1", &headers, b"sheet")
                .status(),
            400,
            "{twice}"
        );
    }
    assert_eq!(endpoint.request_count(), 0);
}

/// The request in flight is served, and its id may be used again after its response.
#[test]
fn duplicate_call_id_of_request_in_flight_is_rejected() {
    let (gate_keeper, gate) = gate();
    let endpoint = ScriptedEndpoint::start(move |message| {
        gate.wait();
        ok(&message.start_line)
    });
    let (node, _discovery) = start_node(&[&endpoint]);
    let (mut open, headers) = (node.client(), common_headers(LONG_MS));
    open.send("POST /correct/1f", &headers, b"sheet");
    endpoint.next_request();
    for (start, body) in [
        ("POST /correct/2e", &b"other"[..]),
        ("POST /correct/1f", b"sheet"),
        ("GET /read/3", b""),
    ] {
        let mut other = node.client();
        assert_eq!(
            other.request(start, &headers, body).status(),
            409,
            "{start}"
        );
        assert!(other.is_closed());
    }
    gate_keeper.release_one();
    let response = open.receive().expect("a response");
    assert_eq!(
        (response.status(), response.body),
        (200, b"POST /correct/1f HTTP/1.1".to_vec())
    );
    // After the response, the id may be used again.
    gate_keeper.release_one();
    assert_eq!(
        open.request("POST /correct/1f", &headers, b"sheet")
            .status(),
        200
    );
    assert_eq!(endpoint.request_count(), 2);
}

#[test]
fn bad_configuration_is_reported_in_one_line() {
    let discovery = "127.0.0.1:1".parse().expect("an address");
    let good = NodeConfig::new(discovery, &NodeSettings::default()).to_json();
    let cases = [
        "not JSON".to_owned(),
        "{}".to_owned(),
        good.replace("127.0.0.1:0", "somewhere"),
        good.replace("8c1f30d27a5be964", "seed"),
        good.replace(r#""sockets":1024"#, r#""sockets":10"#),
        good.replace("free", "sometimes"),
        good.replace(r#""Name":"correct""#, r#""Name":"read""#),
    ];
    for config in cases {
        let output = node_command(&config, None)
            .command
            .output()
            .expect("it runs");
        let log = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{config}");
        assert!(
            log.starts_with("ottertiller: bad configuration: ") && log.lines().count() == 1,
            "{log}"
        );
    }
}
