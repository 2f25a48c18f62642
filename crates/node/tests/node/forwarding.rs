//! Requests forwarded to endpoints: what is passed on, what is retried, and what ends an attempt.

use crate::support::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

#[test]
fn requests_and_responses_are_forwarded_unchanged() {
    let endpoint = ScriptedEndpoint::start(|_| {
        ScriptedReply::Response(
            "200 OK",
            "X-Load-Report: inflight=1,queue=0\r\n",
            vec![0, 255, 10],
        )
    });
    let (node, _watch, _discovery) = start_node(&settings(LONG_MS, ""), &[&endpoint]);
    let headers = format!("{}Idempotency-Key: 5c0f6e\r\n", common_headers(5000));
    let response = node
        .client()
        .request("POST /submit/7f3a?x=1%202", &headers, b"body\0");
    assert_eq!((response.status(), response.body), (200, vec![0, 255, 10]));
    let seen = endpoint.next_request().message;
    assert_eq!(seen.start_line, "POST /submit/7f3a?x=1%202 HTTP/1.1");
    assert_eq!(
        (seen.body.as_slice(), seen.header("idempotency-key")),
        (&b"body\0"[..], Some("5c0f6e"))
    );
    assert!(headers.contains(seen.header("x-call-id").expect("an id")));
    let budget: u64 = seen
        .header("x-budget-ms")
        .expect("a budget")
        .parse()
        .expect("a number");
    assert!((1..=5000).contains(&budget), "{budget}");
}

#[test]
fn request_that_may_have_run_is_retried_only_if_idempotent() {
    let endings: [fn() -> ScriptedReply; 6] = [
        || ScriptedReply::Response("500 Oops", "", vec![]),
        // Without X-Rejected it may have run.
        || ScriptedReply::Response("503 Busy", "", vec![]),
        || ScriptedReply::CloseAfter(vec![]),
        || ScriptedReply::CloseAfter(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".to_vec()),
        || ScriptedReply::CloseAfter(b"no HTTP at all\r\n\r\n".to_vec()),
        || ScriptedReply::Response("200 OK", "", vec![b'x'; 64 * 1024 + 1]),
    ];
    for (i, ending) in endings.into_iter().enumerate() {
        let (one, two) = endpoint_pair_with_first_reply(ending);
        let (node, _watch, _discovery) = start_node(&settings(LONG_MS, ""), &[&one, &two]);
        let response = node.client().request_correct();
        assert!(
            ![200, 429, 503].contains(&response.status()),
            "case {i}: {response:?}"
        );
        assert_eq!(one.request_count() + two.request_count(), 1, "case {i}");

        let (one, two) = endpoint_pair_with_first_reply(ending);
        let (node, _watch, _discovery) = start_node(&settings(LONG_MS, ""), &[&one, &two]);
        assert_eq!(node.client().request_read().body, b"second", "case {i}");
    }
}

/// Such a response ends with its connection (RFC 9112, section 6.3).
#[test]
fn response_without_length_is_complete_at_orderly_close() {
    for head in [
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
        "HTTP/1.0 200 OK\r\n\r\n",
    ] {
        for length in [0, 5, 64 * 1024] {
            let body = vec![b'x'; length];
            let whole = [head.as_bytes(), &body].concat();
            let endpoint =
                ScriptedEndpoint::start(move |_| ScriptedReply::CloseAfter(whole.clone()));
            let (node, _watch, _discovery) = start_node(&settings(LONG_MS, ""), &[&endpoint]);
            let mut client = node.client();
            for _ in 0..2 {
                let response = client.request_correct();
                assert_eq!(response.status(), 200, "{head:?} and {length} bytes");
                assert_eq!(response.body, body);
            }
        }
    }
}

/// A reset is no end of a response, and neither is a body over the size limit. The request may have
/// run, and is not retried.
#[test]
fn response_without_length_fails_at_reset_or_size_limit() {
    const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\n\r\n";
    let endings: [fn() -> ScriptedReply; 2] = [
        || ScriptedReply::ResetAfter([HEAD, b"half"].concat()),
        || ScriptedReply::CloseAfter([HEAD, &[b'x'; 64 * 1024 + 1]].concat()),
    ];
    for (i, ending) in endings.into_iter().enumerate() {
        for _ in 0..5 {
            let (one, two) = endpoint_pair_with_first_reply(ending);
            let (node, _watch, _discovery) = start_node(&settings(LONG_MS, ""), &[&one, &two]);
            let response = node.client().request_correct();
            assert!(
                ![200, 429, 503].contains(&response.status()),
                "case {i}: {response:?}"
            );
            assert_eq!(one.request_count() + two.request_count(), 1, "case {i}");
        }
    }
}

#[test]
fn non_idempotent_request_that_never_ran_is_retried() {
    for status in ["503 Full", "504 Over"] {
        let (one, two) = endpoint_pair_with_first_reply(move || {
            ScriptedReply::Response(status, "X-Rejected: 1\r\n", vec![])
        });
        let (node, _watch, _discovery) = start_node(&settings(LONG_MS, ""), &[&one, &two]);
        assert_eq!(node.client().request_correct().body, b"second", "{status}");
    }
    let refusing = RefusingAddress::reserve();
    let endpoint = ScriptedEndpoint::start(|_| ok("here"));
    let (node, mut watch, _discovery) = start_node(&settings(LONG_MS, ""), &[]);
    watch.send_line(&list(
        9,
        true,
        &[
            entry("s-0", refusing.address, "in_service"),
            entry("s-1", endpoint.address, "in_service"),
        ],
    ));
    for _ in 0..8 {
        let response = node.client().request_correct();
        assert_eq!(
            (response.status(), response.body.as_slice()),
            (200, &b"here"[..])
        );
    }
}

#[test]
fn shed_request_gets_retry_after_header() {
    let endpoint = ScriptedEndpoint::start(|_| {
        ScriptedReply::Response("503 Full", "X-Rejected: 1\r\n", vec![])
    });
    let (node, _watch, _discovery) = start_node(&settings(LONG_MS, ""), &[&endpoint]);
    let response = node.client().request_correct();
    assert_eq!(response.status(), 503);
    assert_eq!(response.header("retry-after"), Some("1.500"));
}

#[test]
fn timed_out_attempt_closes_its_connection() {
    let endpoint = ScriptedEndpoint::start(|_| ScriptedReply::NoResponse);
    let (node, _watch, _discovery) = start_node(&settings(LONG_MS, ""), &[&endpoint]);
    let mut client = node.client();
    let asked = Instant::now();
    let response = client.request("POST /correct/1", &common_headers(600), b"sheet");
    assert!(
        asked.elapsed() >= Duration::from_millis(300),
        "it was waited for"
    );
    // It may still run: to shed it would promise that it never did.
    assert!(
        ![200, 429, 503].contains(&response.status()),
        "{response:?}"
    );
    endpoint.next_closed();
}

/// The first attempt is cancelled when the hedged one is served.
#[test]
fn silent_attempt_is_hedged_and_then_cancelled() {
    let silent = Arc::new(AtomicBool::new(false));
    let start = || {
        let silent = silent.clone();
        ScriptedEndpoint::start(move |m| {
            if silent.swap(false, Ordering::SeqCst) {
                ScriptedReply::NoResponse
            } else {
                ok(&m.start_line)
            }
        })
    };
    let (one, two) = (start(), start());
    let (node, _watch, _discovery) =
        start_node(&settings(4000, r#","ParallelTries":true"#), &[&one, &two]);
    // From the first responses the node learns how long an attempt may take before it is hedged.
    let mut client = node.client();
    (0..150).for_each(|_| assert_eq!(client.request_read().status(), 200));
    let before = one.request_count() + two.request_count();
    // On a slow machine the first requests may have been hedged too.
    let _ = (one.has_closed_connection(), two.has_closed_connection());
    silent.store(true, Ordering::SeqCst);
    assert_eq!(client.request_read().status(), 200);
    assert!(one.request_count() + two.request_count() >= before + 2);
    wait_until(
        || one.has_closed_connection() || two.has_closed_connection(),
        "the close of the cancelled attempt's connection",
    );
}
