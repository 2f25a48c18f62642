use super::*;
use crate::clock::Clock;
use crate::memory_budget::MemoryBudget;
use crate::message::ListedEndpoint;
use crate::socket::fault_injection::InjectedFaults;
use crate::upstream::load_report::LoadReportParser;
use crate::upstream::pool::Pool;
use crate::upstream::pool::tests::harness::{ENDPOINT, with_pool};
use hyper::Method;
use hyper::header::HeaderValue;
use ottertiller_balancer::{EndpointState, ListKind, LoadReportSource, RequestId};
use rustix::io::Errno;
use std::cell::RefCell;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::spawn_local;

const MINUTE: Duration = Duration::from_secs(60);

/// Makes an attempt after `change` has altered it or its endpoint. Returns its outcome, and the
/// first bytes that the endpoint received.
fn run_attempt_after(
    change: impl FnOnce(&Pool, &mut Attempt, ListedEndpoint, Duration),
) -> (Outcome, String) {
    run_attempt_with_response("", change)
}

/// As [`run_attempt_after`], with an endpoint that sends `response` and then closes the connection.
fn run_attempt_with_response(
    response: &'static str,
    change: impl FnOnce(&Pool, &mut Attempt, ListedEndpoint, Duration),
) -> (Outcome, String) {
    with_pool(async |pool, listener, endpoint| {
        let clock = Clock::start();
        let now = clock.now();
        let upstream_request = UpstreamRequest {
            method: Method::POST,
            path: hyper::http::uri::PathAndQuery::from_static("/submit/1"),
            call_id: HeaderValue::from_static("1"),
            idempotency_key: None,
            body: RefCell::new(Some(Bytes::new())),
            deadline: now + MINUTE,
            idempotency_window: Some(MINUTE),
            first_sent_at: Cell::new(None),
        };
        let expires_at = now + MINUTE;
        let mut attempt = Attempt {
            id: AttemptId {
                request: RequestId(1),
                number: 0,
            },
            endpoint: ENDPOINT,
            expires_at,
            upstream_request: Rc::new(upstream_request),
        };
        change(&pool, &mut attempt, endpoint, now);
        let (_stop_sender, stop_signal) = oneshot::channel();
        let endpoint_task = spawn_local(async move {
            let (mut stream, _) = listener.accept().await.expect("a dial");
            let mut received = [0; 15];
            let count = stream.read(&mut received).await.unwrap_or_default();
            let _ = stream.write_all(response.as_bytes()).await; // fails if the attempt has ended
            String::from_utf8_lossy(&received[..count]).into_owned()
        });
        let load_reports = LoadReportParser::new(LoadReportSource::None, Vec::new());
        let upstream = Upstream {
            clock,
            budget: MemoryBudget::new(1 << 20),
            pool: pool.clone(),
            load_reports,
        };
        let result = Rc::new(upstream).run_attempt(attempt, stop_signal).await;
        pool.update(ListKind::Snapshot, &[]); // closes the idle connections
        (
            result.outcome,
            endpoint_task.await.expect("the received bytes"),
        )
    })
}

#[test]
fn an_attempt_that_is_still_permitted_is_written() {
    assert_eq!(
        run_attempt_after(|_, _, _, _| {}),
        (Outcome::Reset, "POST /submit/1 ".to_owned())
    );
}

#[test]
fn an_attempt_that_is_no_longer_permitted_is_never_sent() {
    let not_sent = || (Outcome::NotSent, String::new());
    let expired = run_attempt_after(|_, attempt, _, now| attempt.expires_at = now);
    assert_eq!(expired, not_sent(), "the attempt has expired");
    let responded = run_attempt_after(|_, attempt, _, _| attempt.upstream_request.discard_body());
    assert_eq!(responded, not_sent(), "the request has its final response");
    let forgotten = run_attempt_after(|_, attempt, _, now| {
        attempt
            .upstream_request
            .first_sent_at
            .set(Some(now - 2 * MINUTE));
    });
    assert_eq!(
        forgotten,
        not_sent(),
        "endpoints have forgotten the first attempt of a keyed request"
    );
    let drained = run_attempt_after(|pool, _, mut endpoint, _| {
        endpoint.entry.state = EndpointState::Draining;
        pool.update(ListKind::Delta, &[endpoint]);
    });
    assert_eq!(
        drained,
        not_sent(),
        "the endpoint drains, although its drain grace has not passed"
    );
}

const SERVED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

#[test]
fn an_attempt_whose_calls_are_interrupted_or_short_is_served() {
    for fault in [
        || InjectedFaults::errors(Errno::INTR, 2),
        InjectedFaults::short_reads,
    ] {
        let faults = fault();
        assert_eq!(
            run_attempt_with_response(SERVED, |_, _, _, _| {}).0,
            Outcome::Served
        );
        assert!(faults.count() > 0, "no fault was injected");
    }
}

/// If the connection fails after the request was written, the request may have run. The outcome
/// must not be one that says that the request never ran.
#[test]
fn an_attempt_whose_connection_fails_after_the_write_is_reset() {
    for errno in [
        Errno::TIMEDOUT,
        Errno::HOSTUNREACH,
        Errno::CONNRESET,
        Errno::PIPE,
    ] {
        for fail_every in [2, 3] {
            let faults = InjectedFaults::errors(errno, fail_every);
            let (outcome, _) = run_attempt_with_response(SERVED, |_, _, _, _| {});
            assert_eq!(
                outcome,
                Outcome::Reset,
                "one call in {fail_every} fails with {errno:?}"
            );
            assert!(faults.count() > 0, "no fault was injected");
        }
    }
}
