//! Malformed requests get an error and reach no endpoint; malformed configurations are reported.

use crate::support::client::{common_headers, request_head};
use crate::support::config::NodeConfig;
use crate::support::endpoint::{ScriptedEndpoint, ok};
use crate::support::gate::reply_gate;
use crate::support::message::Message;
use crate::support::process::node_command;
use crate::support::settings::{LONG_DEADLINE_MS, MAX_BODY_BYTES, NodeSettings};
use crate::support::setup::start_node;

const KEY_HEADER: &str = "Idempotency-Key: 5c0f\r\n";

/// Asserts that a response has a 4xx status other than 429. The client caused the error, and the
/// response does not suggest a retry.
fn assert_client_error(response: &Message, case: &str) {
    let status = response.status();
    assert!(
        (400..500).contains(&status) && status != 429,
        "{case}: {response:?}"
    );
}

/// Returns the headers of a valid request without the header `name`.
fn headers_without(name: &str) -> String {
    common_headers(5000)
        .split_inclusive("\r\n")
        .filter(|line| !line.starts_with(name))
        .collect()
}

/// Returns the headers of a valid request in which the header `name` has this value.
fn headers_with(name: &str, value: &str) -> String {
    format!("{}{name}: {value}\r\n", headers_without(name))
}

#[test]
fn malformed_request_gets_error_and_reaches_no_endpoint() {
    let endpoint = ScriptedEndpoint::serving("");
    let (node, _discovery) = start_node(&[&endpoint]);
    let valid_headers = || common_headers(5000);
    let oversized_id = "i".repeat(5000);
    let cases: [(&str, String, Vec<u8>); 22] = [
        ("GET /nothing/1", valid_headers(), vec![]),
        ("GET /", valid_headers(), vec![]),
        ("OPTIONS *", valid_headers(), vec![]),
        ("POST /read/1", valid_headers(), vec![]),
        ("GET /correct/1", valid_headers(), vec![]),
        ("DELETE /read/1", valid_headers(), vec![]),
        ("GET /read/1", valid_headers(), b"body".to_vec()),
        ("POST /submit/1", valid_headers(), vec![]),
        ("GET /read/1", headers_without("X-Call-Id"), vec![]),
        ("GET /read/1", headers_with("X-Call-Id", ""), vec![]),
        (
            "GET /read/1",
            headers_with("X-Call-Id", &oversized_id),
            vec![],
        ),
        ("GET /read/1", headers_without("X-Caller"), vec![]),
        ("GET /read/1", headers_with("X-Caller", "nobody"), vec![]),
        ("GET /read/1", headers_without("X-Budget-Ms"), vec![]),
        ("GET /read/1", headers_with("X-Budget-Ms", "0"), vec![]),
        ("GET /read/1", headers_with("X-Budget-Ms", "-5"), vec![]),
        ("GET /read/1", headers_with("X-Budget-Ms", "soon"), vec![]),
        ("GET /read/1", headers_with("X-Budget-Ms", "1e3"), vec![]),
        (
            "GET /read/1",
            headers_with("X-Budget-Ms", "18446744073709551616"),
            vec![],
        ),
        (
            "GET /read/1",
            headers_with("X-Budget-Ms", "18446744073709551615"),
            vec![],
        ),
        (
            "POST /correct/1",
            valid_headers(),
            vec![b'x'; MAX_BODY_BYTES + 1],
        ),
        (
            "POST /submit/1",
            valid_headers() + KEY_HEADER,
            vec![b'x'; 500_000],
        ),
    ];
    for (method_and_target, headers, body) in cases {
        let response = node.client().request(method_and_target, &headers, &body);
        assert_client_error(&response, &format!("{method_and_target} {headers}"));
    }
    assert_eq!(endpoint.request_count(), 0);
    // A body of the maximum size is forwarded.
    let response = node.client().request(
        "POST /correct/1",
        &valid_headers(),
        &vec![b'x'; MAX_BODY_BYTES],
    );
    assert_eq!(
        (
            response.status(),
            endpoint.next_request().message.body.len()
        ),
        (200, MAX_BODY_BYTES)
    );
}

/// The response body is the error text alone, which names the header that is missing or unusable.
#[test]
fn error_for_unusable_budget_names_the_header() {
    let endpoint = ScriptedEndpoint::serving("");
    let (node, _discovery) = start_node(&[&endpoint]);
    for headers in [
        headers_without("X-Budget-Ms"),
        headers_with("X-Budget-Ms", "soon"),
    ] {
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

/// If a request has both Content-Length and Transfer-Encoding, peers may disagree on its end, and
/// its body may smuggle a second request. The node must serve nothing that follows on the
/// connection.
#[test]
fn transfer_encoding_is_rejected_and_connection_closed() {
    let endpoint = ScriptedEndpoint::serving("");
    let (node, _discovery) = start_node(&[&endpoint]);
    let (length, encoding) = ("Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n");
    let smuggled = request_head("GET /read/1", &common_headers(5000));
    for framing in [
        [length, encoding].concat(),
        [encoding, length].concat(),
        encoding.to_owned(),
    ] {
        let mut client = node.client();
        let headers = common_headers(5000) + &framing;
        let head = request_head("POST /correct/1", &headers);
        client.write(format!("{head}0\r\n\r\n{smuggled}").as_bytes());
        assert_eq!(
            client.receive().map(|response| response.status()),
            Some(411),
            "{framing}"
        );
        assert!(client.wait_for_close());
    }
    assert_eq!(endpoint.request_count(), 0);
}

#[test]
fn connection_closes_after_malformed_request() {
    let endpoint = ScriptedEndpoint::serving("");
    let (node, _discovery) = start_node(&[&endpoint]);
    let headers = common_headers(5000);
    for method_and_target in ["GET /nothing/1", "POST /submit/1", "DELETE /read/1"] {
        let mut client = node.client();
        client.send(method_and_target, &headers, b"");
        client.send("GET /read/1", &common_headers(5000), b"");
        let response = client.receive().expect("node should send an error");
        assert_client_error(&response, method_and_target);
        assert!(client.wait_for_close(), "{method_and_target}");
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
        let response = client
            .receive()
            .expect("node should send an error response");
        assert_client_error(&response, length);
        assert_ne!(response.status(), 408, "{length}");
        assert!(client.wait_for_close(), "{length}");
    }
    assert_eq!(endpoint.request_count(), 0);
}

#[test]
fn duplicate_header_is_rejected() {
    let endpoint = ScriptedEndpoint::serving("");
    let (node, _discovery) = start_node(&[&endpoint]);
    for duplicate in [
        "X-Call-Id: 2\r\n",
        "X-Budget-Ms: 5000\r\n",
        KEY_HEADER,
        "X-Caller: acme\r\n",
    ] {
        let headers = format!("{}{KEY_HEADER}{duplicate}", common_headers(5000));
        assert_eq!(
            node.client()
                .request("POST /submit/1", &headers, b"sheet")
                .status(),
            400,
            "{duplicate}"
        );
    }
    assert_eq!(endpoint.request_count(), 0);
}

/// Requests with the call id of a request in flight are rejected, even if they are identical to it.
/// The request in flight is served, and its call id may be used again after its response.
#[test]
fn duplicate_call_id_of_request_in_flight_is_rejected() {
    let (releaser, gate) = reply_gate();
    let endpoint = ScriptedEndpoint::start(move |message| {
        gate.wait();
        ok(&message.start_line)
    });
    let (node, _discovery) = start_node(&[&endpoint]);
    let (mut in_flight, headers) = (node.client(), common_headers(LONG_DEADLINE_MS));
    in_flight.send("POST /correct/1f", &headers, b"sheet");
    endpoint.next_request();
    for (method_and_target, body) in [
        ("POST /correct/2e", &b"other"[..]),
        ("POST /correct/1f", b"sheet"),
        ("GET /read/3", b""),
    ] {
        let mut duplicate = node.client();
        assert_eq!(
            duplicate
                .request(method_and_target, &headers, body)
                .status(),
            409,
            "{method_and_target}"
        );
        assert!(duplicate.wait_for_close());
    }
    releaser.release_one();
    let response = in_flight.receive_response();
    assert_eq!(
        (response.status(), response.body),
        (200, b"POST /correct/1f HTTP/1.1".to_vec())
    );
    releaser.release_one();
    assert_eq!(
        in_flight
            .request("POST /correct/1f", &headers, b"sheet")
            .status(),
        200
    );
    assert_eq!(endpoint.request_count(), 2);
}

#[test]
fn invalid_configuration_is_reported_in_one_line() {
    let discovery = "127.0.0.1:1".parse().expect("address should be valid");
    let valid = NodeConfig::new(discovery, &NodeSettings::default()).to_json();
    let cases = [
        "not JSON".to_owned(),
        "{}".to_owned(),
        valid.replace("127.0.0.1:0", "somewhere"),
        valid.replace("8c1f30d27a5be964", "seed"),
        valid.replace(r#""sockets":1024"#, r#""sockets":10"#),
        valid.replace("free", "sometimes"),
        valid.replace(r#""Name":"correct""#, r#""Name":"read""#),
    ];
    for config in cases {
        let output = node_command(&config, None)
            .command
            .output()
            .expect("node should run");
        let log = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{config}");
        assert!(
            log.starts_with("ottertiller: bad configuration: ") && log.lines().count() == 1,
            "{log}"
        );
    }
}
