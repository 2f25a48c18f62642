//! Forwarding of requests to endpoints: message content, retries, time-outs and hedging.

use crate::support::client::common_headers;
use crate::support::discovery::{in_service, snapshot};
use crate::support::endpoint::{
    ScriptedEndpoint, ScriptedReply, endpoint_pair_with_first_reply, ok, rejection, response,
};
use crate::support::message::Message;
use crate::support::refusing_address::RefusingAddress;
use crate::support::settings::{MAX_BODY_BYTES, NodeSettings};
use crate::support::setup::{NodeSetup, start_node};
use crate::support::wait::wait_until;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Asserts that a response neither reports success nor sheds the request, which may have run.
fn assert_failed(response: &Message, case: &str) {
    assert!(
        ![200, 429, 503].contains(&response.status()),
        "{case}: {response:?}"
    );
}

/// Asserts that a request that is not idempotent fails without a retry if the endpoint replies to
/// the first attempt with `first_reply`.
fn assert_fails_without_retry(case: usize, first_reply: fn() -> ScriptedReply) {
    let (one, two) = endpoint_pair_with_first_reply(first_reply);
    let (node, _discovery) = start_node(&[&one, &two]);
    let response = node.client().request_non_idempotent();
    assert_failed(&response, &format!("case {case}"));
    assert_eq!(one.request_count() + two.request_count(), 1, "case {case}");
}

#[test]
fn requests_and_responses_are_forwarded_unchanged() {
    let endpoint = ScriptedEndpoint::start(|_| {
        response(
            "200 OK",
            "X-Load-Report: inflight=1,queue=0\r\n",
            &[0, 255, 10],
        )
    });
    let (node, _discovery) = start_node(&[&endpoint]);
    let headers = format!("{}Idempotency-Key: 5c0f6e\r\n", common_headers(5000));
    let response = node
        .client()
        .request("POST /submit/7f3a?x=1%202", &headers, b"body\0");
    assert_eq!((response.status(), response.body), (200, vec![0, 255, 10]));
    let received = endpoint.next_request().message;
    assert_eq!(received.start_line, "POST /submit/7f3a?x=1%202 HTTP/1.1");
    assert_eq!(
        (received.body.as_slice(), received.header("idempotency-key")),
        (&b"body\0"[..], Some("5c0f6e"))
    );
    assert!(
        headers.contains(
            received
                .header("x-call-id")
                .expect("request should have a call id")
        )
    );
    let budget: u64 = received
        .header("x-budget-ms")
        .expect("request should have a budget")
        .parse()
        .expect("budget should be a number");
    assert!((1..=5000).contains(&budget), "{budget}");
}

#[test]
fn request_that_may_have_run_is_retried_only_if_idempotent() {
    let first_replies: [fn() -> ScriptedReply; 6] = [
        || response("500 Oops", "", b""),
        // Without the header X-Rejected, the request may have run.
        || response("503 Busy", "", b""),
        || ScriptedReply::CloseAfter(vec![]),
        || ScriptedReply::CloseAfter(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".to_vec()),
        || ScriptedReply::CloseAfter(b"no HTTP at all\r\n\r\n".to_vec()),
        || response("200 OK", "", &[b'x'; MAX_BODY_BYTES + 1]),
    ];
    for (case, first_reply) in first_replies.into_iter().enumerate() {
        assert_fails_without_retry(case, first_reply);
        let (one, two) = endpoint_pair_with_first_reply(first_reply);
        let (node, _discovery) = start_node(&[&one, &two]);
        assert_eq!(
            node.client().request_idempotent().body,
            b"second",
            "case {case}"
        );
    }
}

/// A response without Content-Length ends with its connection (RFC 9112, section 6.3).
#[test]
fn response_without_length_is_complete_at_orderly_close() {
    for head in [
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
        "HTTP/1.0 200 OK\r\n\r\n",
    ] {
        for length in [0, 5, MAX_BODY_BYTES] {
            let body = vec![b'x'; length];
            let response = [head.as_bytes(), &body].concat();
            let endpoint =
                ScriptedEndpoint::start(move |_| ScriptedReply::CloseAfter(response.clone()));
            let (node, _discovery) = start_node(&[&endpoint]);
            let mut client = node.client();
            for _ in 0..2 {
                let response = client.request_non_idempotent();
                assert_eq!(response.status(), 200, "{head:?}, body of {length} bytes");
                assert_eq!(response.body, body);
            }
        }
    }
}

/// A response without Content-Length is incomplete if its connection is reset or its body exceeds
/// the size limit. The request may have run and must not be retried.
#[test]
fn response_without_length_fails_at_reset_or_size_limit() {
    const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\n\r\n";
    let first_replies: [fn() -> ScriptedReply; 2] = [
        || ScriptedReply::ResetAfter([HEAD, b"half"].concat()),
        || ScriptedReply::CloseAfter([HEAD, &[b'x'; MAX_BODY_BYTES + 1]].concat()),
    ];
    for (case, first_reply) in first_replies.into_iter().enumerate() {
        for _ in 0..5 {
            assert_fails_without_retry(case, first_reply);
        }
    }
}

/// Returns a reply with status 200 and further headers, whose Content-Length lacks the last `missing`
/// bytes of its body.
fn short_length(headers: &str, body: &[u8], missing: usize) -> ScriptedReply {
    let length = body.len() - missing;
    let head = format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: {length}\r\n\r\n");
    ScriptedReply::Raw([head.as_bytes(), body].concat())
}

/// Returns a body of a response with `Connection: close`. Without its last five bytes, the response
/// has as many bytes as the node reads at once.
fn body_stated_as_one_read() -> Vec<u8> {
    let head = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 8000\r\n\r\n";
    vec![b'x'; 8 * 1024 - head.len() + 5]
}

/// Guards against: a response whose Content-Length is below the length of its body was served
/// without the body's end.
#[test]
fn body_cut_off_by_its_content_length_is_not_served() {
    let first_replies: [fn() -> ScriptedReply; 6] = [
        || short_length("", b"whole answer", 1),
        || short_length("", b"whole answer", 12),
        || short_length("Connection: close\r\n", b"whole answer", 6),
        || short_length("", &[b'x'; MAX_BODY_BYTES], 5),
        // The node does not read further behind the stated length.
        || short_length("Connection: close\r\n", &body_stated_as_one_read(), 5),
        // The missing end looks like the start of another response.
        || short_length("", b"log: HTTP/1.1 200 OK\r\nContent-Length: 4", 34),
    ];
    for (case, first_reply) in first_replies.into_iter().enumerate() {
        assert_fails_without_retry(case, first_reply);
        let (one, two) = endpoint_pair_with_first_reply(first_reply);
        let (node, _discovery) = start_node(&[&one, &two]);
        let retried = node.client().request_idempotent();
        assert_eq!(retried.body, b"second", "case {case}");
    }
}

#[test]
fn non_idempotent_request_that_never_ran_is_retried() {
    for status in ["503 Full", "504 Over"] {
        let (one, two) = endpoint_pair_with_first_reply(move || rejection(status));
        let (node, _discovery) = start_node(&[&one, &two]);
        assert_eq!(
            node.client().request_non_idempotent().body,
            b"second",
            "{status}"
        );
    }
    let refusing = RefusingAddress::reserve();
    let endpoint = ScriptedEndpoint::serving("here");
    let (node, mut discovery) = start_node(&[]);
    discovery.send_list(&snapshot(
        9,
        &[
            in_service("s-0", refusing.address),
            in_service("s-1", endpoint.address),
        ],
    ));
    for _ in 0..8 {
        let response = node.client().request_non_idempotent();
        assert_eq!(
            (response.status(), response.body.as_slice()),
            (200, &b"here"[..])
        );
    }
}

#[test]
fn shed_request_gets_retry_after_header() {
    let endpoint = ScriptedEndpoint::start(|_| rejection("503 Full"));
    let (node, _discovery) = start_node(&[&endpoint]);
    let response = node.client().request_non_idempotent();
    assert_eq!(response.status(), 503);
    assert_eq!(response.header("retry-after"), Some("1.500"));
}

#[test]
fn timed_out_attempt_closes_its_connection() {
    let endpoint = ScriptedEndpoint::silent();
    let (node, _discovery) = start_node(&[&endpoint]);
    let mut client = node.client();
    let sent = Instant::now();
    let response = client.request("POST /correct/1", &common_headers(600), b"sheet");
    assert!(
        sent.elapsed() >= Duration::from_millis(300),
        "the node should wait for the response"
    );
    // The request may still run, so the node must not send a status that states that it did not.
    assert_failed(&response, "timed-out attempt");
    endpoint.next_closed();
}

/// If an endpoint does not respond to an attempt, the node sends a second, hedged attempt and
/// cancels the first one when the second is served.
#[test]
fn silent_attempt_is_hedged_and_then_cancelled() {
    let skip_next_response = Arc::new(AtomicBool::new(false));
    let start = || {
        let skip_next_response = skip_next_response.clone();
        ScriptedEndpoint::start(move |message| {
            if skip_next_response.swap(false, Ordering::SeqCst) {
                ScriptedReply::NoResponse
            } else {
                ok(&message.start_line)
            }
        })
    };
    let (one, two) = (start(), start());
    let (node, _discovery) = NodeSetup::with_settings(NodeSettings {
        objective_ms: 4000,
        parallel_attempts: true,
        ..NodeSettings::default()
    })
    .start(&[&one, &two]);
    // From these responses, the node learns how long to wait before it hedges an attempt.
    let mut client = node.client();
    (0..150).for_each(|_| assert_eq!(client.request_idempotent().status(), 200));
    let before = one.request_count() + two.request_count();
    // On a slow machine, these requests may have been hedged too. Discard the events so far.
    let _ = (one.take_closed_connection(), two.take_closed_connection());
    skip_next_response.store(true, Ordering::SeqCst);
    assert_eq!(client.request_idempotent().status(), 200);
    assert!(one.request_count() + two.request_count() >= before + 2);
    wait_until(
        || one.take_closed_connection() || two.take_closed_connection(),
        "the connection of the cancelled attempt to close",
    );
}
