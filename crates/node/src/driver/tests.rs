//! Tests that a finished request leaves no table entry, no timer and no leased memory behind,
//! whichever event finished it. Time is virtual: it advances only when every task waits.

mod harness;
mod scripted_endpoint;

use crate::message::{DriverMessage, EndpointListUpdate, FinalResponse, ListedEndpoint};
use harness::{
    BODY_BYTES, DEADLINE, DriverHarness, IDEMPOTENT, KEYED, LATENCY_OBJECTIVE, MessageSource,
    NOT_IDEMPOTENT, SETTLE_TIME, config, in_virtual_time,
};
use ottertiller_balancer::{Action, EndpointState, ListKind};
use scripted_endpoint::listed;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Returns whether the request was shed with the configured delay.
fn is_shed(response: &FinalResponse) -> bool {
    matches!(response, FinalResponse::Shed(Some(after)) if *after == Duration::from_millis(500))
}

#[test]
fn a_request_shed_by_a_timer_leaves_no_state() {
    in_virtual_time(async {
        let mut harness = DriverHarness::start(&config("pull", 0.0));
        harness
            .run(async |source| source.send_list(ListKind::Snapshot, vec![]).await)
            .await;
        let before = harness.usage();
        let (_, pending) = harness
            .request_and_advance(KEYED, "ok", LATENCY_OBJECTIVE / 2)
            .await;
        assert_eq!(
            harness.usage().requests,
            1,
            "it is queued until an endpoint is listed"
        );
        assert_eq!(harness.usage().leased_bytes, BODY_BYTES);
        let response = harness
            .run(async |_| pending.await.expect("a response"))
            .await;
        assert!(is_shed(&response), "{response:?}");
        assert_eq!(harness.usage(), before);
    });
}

#[test]
fn a_request_shed_after_a_health_check_leaves_no_state() {
    in_virtual_time(async {
        let mut harness = DriverHarness::start(&config("pull", 0.0));
        let overloaded = scripted_endpoint::start(1, "inflight=50,queue=40").await;
        harness
            .run(async |source| source.send_list(ListKind::Snapshot, vec![overloaded]).await)
            .await;
        let before = harness.usage();
        let mut shed = 0;
        for _ in 0..20 {
            let response = harness
                .run(async |source| {
                    let (_, response) = source.send_request(KEYED, "ok", DEADLINE).await;
                    response.await.expect("a response")
                })
                .await;
            shed += usize::from(is_shed(&response));
            drop(response);
            // A served request may have a cancelled attempt in flight.
            harness.run(async |_| sleep(SETTLE_TIME).await).await;
            assert_eq!(harness.usage(), before);
        }
        assert!(
            shed > 10,
            "an endpoint that reports so much load gets no requests: {shed} of 20 shed"
        );
    });
}

#[test]
fn a_request_whose_only_endpoint_is_removed_leaves_no_state() {
    in_virtual_time(async {
        let mut harness = DriverHarness::start(&config("pull", 0.0));
        // Nothing accepts this listener's connections, so a health check ends only at its timeout.
        let unresponsive = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let endpoint = listed(
            1,
            unresponsive.local_addr().expect("the listener's address"),
        );
        harness
            .run(async |source| {
                source
                    .send_list(ListKind::Snapshot, vec![endpoint.clone()])
                    .await;
            })
            .await;
        let before = harness.usage();
        let (_, pending) = harness
            .run(async |source| {
                let request = source.send_request(KEYED, "ok", DEADLINE).await;
                sleep(Duration::from_millis(1)).await;
                let mut removed = endpoint.clone();
                removed.entry.state = EndpointState::Removed;
                source.send_list(ListKind::Delta, vec![removed]).await;
                request
            })
            .await;
        assert_eq!(harness.usage().requests, 1, "it is queued");
        let response = harness
            .run(async |_| pending.await.expect("a response"))
            .await;
        assert!(is_shed(&response), "{response:?}");
        harness.run(async |_| sleep(SETTLE_TIME).await).await;
        assert_eq!(harness.usage(), before);
    });
}

/// The balancer may shed or fail a request on any event, even on one that names no request. The
/// table must remove the request in every case.
#[test]
fn a_request_ended_by_an_endpoint_list_update_leaves_no_state() {
    in_virtual_time(async {
        let mut harness = DriverHarness::start(&config("pull", 0.0));
        harness
            .run(async |source| source.send_list(ListKind::Snapshot, vec![]).await)
            .await;
        let before = harness.usage();
        for sheds in [true, false] {
            let (id, response) = harness
                .request_and_advance(KEYED, "ok", Duration::from_millis(1))
                .await;
            assert_eq!(harness.usage().requests, 1, "it is queued");
            harness
                .driver
                .on_message(DriverMessage::EndpointList(EndpointListUpdate {
                    kind: ListKind::Snapshot,
                    endpoints: vec![],
                }));
            let retry_after = None;
            let action = if sheds {
                Action::Shed { id, retry_after }
            } else {
                Action::Fail { id }
            };
            harness.driver.execute(action);
            assert!(response.await.is_ok());
            assert_eq!(harness.usage(), before);
        }
    });
}

#[test]
fn a_request_without_response_at_its_deadline_leaves_no_state() {
    in_virtual_time(async {
        // Late responses count (LateWorth is 0.5), so only the deadline ends the request.
        let mut harness = DriverHarness::start(&config("piggyback", 0.5));
        let silent = scripted_endpoint::start(1, "").await;
        harness
            .run(async |source| source.send_list(ListKind::Snapshot, vec![silent]).await)
            .await;
        let before = harness.usage();
        for class in [IDEMPOTENT, KEYED, NOT_IDEMPOTENT] {
            let (_, response) = harness
                .request_and_advance(class, "silence", DEADLINE / 2)
                .await;
            assert_eq!(harness.usage().requests, 1, "it has an attempt in flight");
            let response = harness
                .run(async |_| response.await.expect("a response"))
                .await;
            assert!(
                !matches!(response, FinalResponse::Served(_)),
                "{response:?}"
            );
            harness.run(async |_| sleep(SETTLE_TIME).await).await;
            assert_eq!(harness.usage(), before);
        }
    });
}

#[test]
fn a_disconnect_ends_the_body_lease_despite_a_running_attempt() {
    in_virtual_time(async {
        let mut harness = DriverHarness::start(&config("piggyback", 0.5));
        let silent = scripted_endpoint::start(1, "").await;
        harness
            .run(async |source| source.send_list(ListKind::Snapshot, vec![silent]).await)
            .await;
        let (id, _response) = harness
            .request_and_advance(NOT_IDEMPOTENT, "silence", DEADLINE / 2)
            .await;
        assert_eq!(harness.usage().leased_bytes, BODY_BYTES);
        // The balancer is not told of the disconnect, since it would cancel the attempt at once.
        assert!(harness.driver.requests.client_disconnected(id));
        let usage = harness.usage();
        assert_eq!((usage.requests, usage.leased_bytes), (1, 0));
    });
}

/// Request endings: the class, the endpoint's script, and the time after which the client
/// disconnects, if it does.
const ENDINGS: [(usize, &str, Option<Duration>); 16] = [
    (IDEMPOTENT, "ok", None),
    (KEYED, "ok", None),
    (NOT_IDEMPOTENT, "ok", None),
    (IDEMPOTENT, "slow", None),
    (KEYED, "slow", None),
    (NOT_IDEMPOTENT, "error", None),
    (IDEMPOTENT, "error", None),
    (KEYED, "reset", None),
    (IDEMPOTENT, "reject", None),
    (NOT_IDEMPOTENT, "garble", None),
    (IDEMPOTENT, "silence", None),
    (NOT_IDEMPOTENT, "silence", None),
    (KEYED, "slow", Some(Duration::ZERO)),
    (IDEMPOTENT, "slow", Some(Duration::from_millis(10))),
    (NOT_IDEMPOTENT, "silence", Some(Duration::from_millis(50))),
    (KEYED, "ok", Some(Duration::from_millis(1))),
];

#[test]
fn two_hundred_thousand_requests_of_every_ending_leave_no_state() {
    const ROUNDS: usize = 4_000;
    const ROUND: Duration = Duration::from_millis(20);
    in_virtual_time(async {
        let mut harness = DriverHarness::start(&config("pull", 0.5));
        let mut listed = Vec::new();
        for id in 1..=6 {
            let load = if id % 3 == 0 {
                "inflight=9,queue=5"
            } else {
                "inflight=0,queue=0"
            };
            listed.push(scripted_endpoint::start(id, load).await);
        }
        harness
            .run(async |source| source.send_list(ListKind::Snapshot, listed.clone()).await)
            .await;
        let before = harness.all_usage();
        let endings: EndingCounts = Rc::default();
        harness
            .run(async |source| {
                for round in 0..ROUNDS {
                    source.vary_list(round, &listed).await;
                    source.send_round(round, &endings).await;
                    if round % 40 == 20 {
                        source
                            .messages
                            .send(DriverMessage::Shutdown)
                            .await
                            .expect("the driver runs");
                    }
                    sleep(ROUND).await;
                }
                sleep(SETTLE_TIME).await;
            })
            .await;
        let endings = endings.borrow();
        for ending in ["served", "shed", "failed", "timed out"] {
            assert!(
                endings.get(ending).is_some_and(|count| *count > 100),
                "{ending}: {endings:?}"
            );
        }
        assert_eq!(endings.get("no response"), None);
        let after = harness.all_usage();
        assert_eq!(after, before);
    });
}

/// The number of requests by ending.
type EndingCounts = Rc<RefCell<BTreeMap<&'static str, usize>>>;

impl MessageSource {
    /// Updates the endpoint list in some rounds: empties it, restores it, drains an endpoint, or
    /// lists that endpoint as ready again.
    async fn vary_list(&self, round: usize, listed: &[ListedEndpoint]) {
        match round % 400 {
            100 => self.send_list(ListKind::Snapshot, vec![]).await,
            130 => self.send_list(ListKind::Snapshot, listed.to_vec()).await,
            200 => {
                let mut draining = listed[0].clone();
                draining.entry.state = EndpointState::Draining;
                self.send_list(ListKind::Delta, vec![draining]).await;
            }
            250 => self.send_list(ListKind::Delta, listed[..1].to_vec()).await,
            _ => {}
        }
    }

    /// Sends a round of requests, and disconnects the clients of some.
    async fn send_round(&self, round: usize, endings: &EndingCounts) {
        const REQUESTS: usize = 50;
        let mut disconnecting = Vec::new();
        for number in 0..REQUESTS {
            // Four of five requests get a normal response from the endpoint. Otherwise every
            // endpoint would be ejected throughout.
            let ending = if number % 5 == 0 {
                (round + number / 5) % ENDINGS.len()
            } else {
                number % 3
            };
            let (class, script, disconnects) = ENDINGS[ending];
            let has_short_deadline = number % 7 == 6;
            let remaining = if has_short_deadline {
                Duration::from_millis(number as u64)
            } else {
                DEADLINE
            };
            let (id, response) = self.send_request(class, script, remaining).await;
            match disconnects {
                Some(after) => disconnecting.push((id, after, response)),
                None => drop(spawn_local(count_ending(response, endings.clone()))),
            }
        }
        for (id, after, response) in disconnecting {
            sleep(after).await;
            drop(response);
            self.disconnect_client(id).await;
        }
    }
}

/// Waits for the final response, and counts the request's ending.
async fn count_ending(response: oneshot::Receiver<FinalResponse>, endings: EndingCounts) {
    let ending = match response.await {
        Ok(FinalResponse::Served(_)) => "served",
        Ok(FinalResponse::Shed(_)) => "shed",
        Ok(FinalResponse::Failed) => "failed",
        Ok(FinalResponse::TimedOut) => "timed out",
        Err(_) => "no response",
    };
    *endings.borrow_mut().entry(ending).or_default() += 1;
}
