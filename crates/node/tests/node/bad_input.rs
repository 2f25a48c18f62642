//! Malformed requests and configurations are answered with an error and reach no endpoint.

use crate::support::*;

const KEY: &str = "Idempotency-Key: 5c0f\r\n";

#[test]
fn malformed_request_gets_error_and_reaches_no_endpoint() {
    let endpoint = ScriptedEndpoint::start(|_| ok(""));
    let (node, _watch, _discovery) = start_node(&settings(LONG_MS, ""), &[&endpoint]);
    let good = || common_headers(5000);
    let without = |name: &str| {
        good()
            .split_inclusive("\r\n")
            .filter(|line| !line.starts_with(name))
            .collect::<String>()
    };
    let with = |name: &str, value: &str| format!("{}{name}: {value}\r\n", without(name));
    let key = "Idempotency-Key: 1\r\n";
    let long = "i".repeat(5000);
    let cases: Vec<(&str, String, Vec<u8>)> = vec![
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
        ("POST /correct/1", good(), vec![b'x'; 64 * 1024 + 1]),
        ("POST /submit/1", good() + key, vec![b'x'; 500_000]),
    ];
    for (start, headers, body) in cases {
        let response = node.client().request(start, &headers, &body);
        let promises = [429, 503].contains(&response.status());
        assert!(
            (400..500).contains(&response.status()) && !promises,
            "{start} {headers}: {response:?}"
        );
    }
    assert_eq!(endpoint.request_count(), 0);
    // The longest body that is allowed.
    let response = node
        .client()
        .request("POST /correct/1", &good(), &vec![b'x'; 64 * 1024]);
    assert_eq!(
        (
            response.status(),
            endpoint.next_request().message.body.len()
        ),
        (200, 64 * 1024)
    );
}

/// Beside a length, Transfer-Encoding may hide a second request in the body of the first. Nothing
/// that follows on the connection is served.
#[test]
fn transfer_encoding_is_rejected_and_connection_closed() {
    let endpoint = ScriptedEndpoint::start(|_| ok(""));
    let (node, _watch, _discovery) = start_node(&settings(LONG_MS, ""), &[&endpoint]);
    let (length, encoding) = ("Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n");
    let hidden = format!(
        "GET /read/1 HTTP/1.1\r\nHost: s\r\n{}\r\n",
        common_headers(5000)
    );
    for framing in [
        [length, encoding].concat(),
        [encoding, length].concat(),
        encoding.to_owned(),
    ] {
        let mut client = node.client();
        let head = format!(
            "POST /correct/1 HTTP/1.1\r\nHost: s\r\n{}{framing}\r\n",
            common_headers(5000)
        );
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
    let endpoint = ScriptedEndpoint::start(|_| ok(""));
    let (node, _watch, _discovery) = start_node(&settings(LONG_MS, ""), &[&endpoint]);
    let good = common_headers(5000);
    for start in ["GET /nothing/1", "POST /submit/1", "DELETE /read/1"] {
        let mut client = node.client();
        client.send(start, &good, b"");
        client.send("GET /read/1", &common_headers(5000), b"");
        assert!(
            (400..500).contains(&client.receive().expect("an error").status()),
            "{start}"
        );
        assert!(client.is_closed(), "{start}");
    }
    assert_eq!(endpoint.request_count(), 0);
}

#[test]
fn oversized_body_is_rejected_before_it_arrives() {
    let endpoint = ScriptedEndpoint::start(|_| ok(""));
    let (node, _watch, _discovery) = start_node(&settings(LONG_MS, ""), &[&endpoint]);
    for length in [
        "65537",
        "60000000",
        "18446744073709551615",
        "99999999999999999999",
        "-1",
        "ten",
    ] {
        let mut client = node.client();
        let head = "POST /correct/1 HTTP/1.1\r\nHost: s\r\n";
        client.write(
            format!(
                "{head}{}Content-Length: {length}\r\n\r\n",
                common_headers(5000)
            )
            .as_bytes(),
        );
        let response = client.receive().expect("an error").status();
        assert!(
            (400..500).contains(&response) && response != 408,
            "{length}: {response}"
        );
        assert!(client.is_closed(), "{length}");
    }
    assert_eq!(endpoint.request_count(), 0);
}

#[test]
fn duplicate_header_is_rejected() {
    let endpoint = ScriptedEndpoint::start(|_| ok(""));
    let (node, _watch, _discovery) = start_node(&settings(LONG_MS, ""), &[&endpoint]);
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
    let (node, _watch, _discovery) = start_node(&settings(LONG_MS, ""), &[&endpoint]);
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
    // Once the request has its response, the id is free again.
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
    let good = config(
        "127.0.0.1:1".parse().expect("an address"),
        &settings(LONG_MS, ""),
        1024,
    );
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
        let output = node_command(&config, "").0.output().expect("it runs");
        let log = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{config}");
        assert!(
            log.starts_with("ottertiller: bad configuration: ") && log.lines().count() == 1,
            "{log}"
        );
    }
}
