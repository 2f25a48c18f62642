//! Nothing that belongs to a request outlives it, whichever event finished it. Time is virtual: it
//! advances only when every task waits.

mod host;
mod scripted_endpoint;

use crate::message::{EndpointListUpdate, FinalResponse, ListedEndpoint, Message};
use host::{
    BODY, CORRECT, DEADLINE, Host, Peers, READ, SETTLED, SUBMIT, TARGET, config, in_virtual_time,
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
fn a_request_shed_on_a_timer_leaves_nothing() {
    in_virtual_time(async {
        let mut host = Host::start(&config("pull", 0.0));
        host.run(async |peers| peers.list(ListKind::Snapshot, vec![]).await)
            .await;
        let before = host.usage();
        let (_, pending) = host.request_and_advance(SUBMIT, "ok", TARGET / 2).await;
        assert_eq!(
            host.usage().requests,
            1,
            "it is queued until an endpoint is listed"
        );
        assert_eq!(host.usage().leased_bytes, BODY);
        let response = host.run(async |_| pending.await.expect("a response")).await;
        assert!(is_shed(&response), "{response:?}");
        assert_eq!(host.usage(), before);
    });
}

#[test]
fn a_request_shed_after_a_health_check_leaves_nothing() {
    in_virtual_time(async {
        let mut host = Host::start(&config("pull", 0.0));
        let crowded = scripted_endpoint::start(1, "inflight=50,queue=40").await;
        host.run(async |peers| peers.list(ListKind::Snapshot, vec![crowded]).await)
            .await;
        let before = host.usage();
        let mut shed = 0;
        for _ in 0..20 {
            let response = host
                .run(async |peers| {
                    let (_, response) = peers.request(SUBMIT, "ok", DEADLINE).await;
                    response.await.expect("a response")
                })
                .await;
            shed += usize::from(is_shed(&response));
            drop(response);
            // A served request may have a cancelled attempt in flight.
            host.run(async |_| sleep(SETTLED).await).await;
            assert_eq!(host.usage(), before);
        }
        assert!(
            shed > 10,
            "an endpoint that reports so much load is not sent to: {shed} shed"
        );
    });
}

#[test]
fn a_request_whose_only_endpoint_is_removed_leaves_nothing() {
    in_virtual_time(async {
        let mut host = Host::start(&config("pull", 0.0));
        // Nothing accepts connections there, so a health check ends only at its timeout.
        let lost = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let endpoint = listed(1, lost.local_addr().expect("the listener's address"));
        host.run(async |peers| peers.list(ListKind::Snapshot, vec![endpoint.clone()]).await)
            .await;
        let before = host.usage();
        let (_, pending) = host
            .run(async |peers| {
                let request = peers.request(SUBMIT, "ok", DEADLINE).await;
                sleep(Duration::from_millis(1)).await;
                let mut removed = endpoint.clone();
                removed.entry.state = EndpointState::Removed;
                peers.list(ListKind::Delta, vec![removed]).await;
                request
            })
            .await;
        assert_eq!(host.usage().requests, 1, "it is queued");
        let response = host.run(async |_| pending.await.expect("a response")).await;
        assert!(is_shed(&response), "{response:?}");
        host.run(async |_| sleep(SETTLED).await).await;
        assert_eq!(host.usage(), before);
    });
}

/// The balancer may shed or fail a request on any event, and the table must not depend on which.
#[test]
fn a_request_ended_by_an_endpoint_list_update_leaves_nothing() {
    in_virtual_time(async {
        let mut host = Host::start(&config("pull", 0.0));
        host.run(async |peers| peers.list(ListKind::Snapshot, vec![]).await)
            .await;
        let before = host.usage();
        for sheds in [true, false] {
            let (id, response) = host
                .request_and_advance(SUBMIT, "ok", Duration::from_millis(1))
                .await;
            assert_eq!(host.usage().requests, 1, "it is queued");
            host.driver
                .on_message(Message::EndpointList(EndpointListUpdate {
                    kind: ListKind::Snapshot,
                    endpoints: vec![],
                }));
            let retry_after = None;
            let action = if sheds {
                Action::Shed { id, retry_after }
            } else {
                Action::Fail { id }
            };
            host.driver.execute(action);
            assert!(response.await.is_ok());
            assert_eq!(host.usage(), before);
        }
    });
}

#[test]
fn a_request_without_response_at_its_deadline_leaves_nothing() {
    in_virtual_time(async {
        // Late responses count, so that only the deadline ends the request.
        let mut host = Host::start(&config("piggyback", 0.5));
        let silent = scripted_endpoint::start(1, "").await;
        host.run(async |peers| peers.list(ListKind::Snapshot, vec![silent]).await)
            .await;
        let before = host.usage();
        for class in [READ, SUBMIT, CORRECT] {
            let (_, response) = host
                .request_and_advance(class, "silence", DEADLINE / 2)
                .await;
            assert_eq!(host.usage().requests, 1, "it has an attempt in flight");
            let response = host
                .run(async |_| response.await.expect("a response"))
                .await;
            assert!(
                !matches!(response, FinalResponse::Served(_)),
                "{response:?}"
            );
            host.run(async |_| sleep(SETTLED).await).await;
            assert_eq!(host.usage(), before);
        }
    });
}

#[test]
fn a_disconnect_ends_the_body_lease_despite_a_running_attempt() {
    in_virtual_time(async {
        let mut host = Host::start(&config("piggyback", 0.5));
        let silent = scripted_endpoint::start(1, "").await;
        host.run(async |peers| peers.list(ListKind::Snapshot, vec![silent]).await)
            .await;
        let (id, _response) = host
            .request_and_advance(CORRECT, "silence", DEADLINE / 2)
            .await;
        assert_eq!(host.usage().leased_bytes, BODY);
        // Only the table is told, since the balancer would cancel the attempt at once.
        assert!(host.driver.requests.client_disconnected(id));
        let usage = host.usage();
        assert_eq!((usage.requests, usage.leased_bytes), (1, 0));
    });
}

/// The class, the endpoint's script, and the time after which the client disconnects, if it does.
const ENDINGS: [(usize, &str, Option<Duration>); 16] = [
    (READ, "ok", None),
    (SUBMIT, "ok", None),
    (CORRECT, "ok", None),
    (READ, "slow", None),
    (SUBMIT, "slow", None),
    (CORRECT, "error", None),
    (READ, "error", None),
    (SUBMIT, "reset", None),
    (READ, "reject", None),
    (CORRECT, "garble", None),
    (READ, "silence", None),
    (CORRECT, "silence", None),
    (SUBMIT, "slow", Some(Duration::ZERO)),
    (READ, "slow", Some(Duration::from_millis(10))),
    (CORRECT, "silence", Some(Duration::from_millis(50))),
    (SUBMIT, "ok", Some(Duration::from_millis(1))),
];

#[test]
fn two_hundred_thousand_requests_of_all_endings_leave_nothing() {
    const ROUNDS: usize = 4_000;
    const ROUND: Duration = Duration::from_millis(20);
    in_virtual_time(async {
        let mut host = Host::start(&config("pull", 0.5));
        let mut listed = Vec::new();
        for id in 1..=6 {
            let load = if id % 3 == 0 {
                "inflight=9,queue=5"
            } else {
                "inflight=0,queue=0"
            };
            listed.push(scripted_endpoint::start(id, load).await);
        }
        host.run(async |peers| peers.list(ListKind::Snapshot, listed.clone()).await)
            .await;
        let before = host.all_usage();
        let endings: Endings = Rc::default();
        host.run(async |peers| {
            for round in 0..ROUNDS {
                peers.vary_list(round, &listed).await;
                peers.request_round(round, &endings).await;
                if round % 40 == 20 {
                    peers
                        .messages
                        .send(Message::Shutdown)
                        .await
                        .expect("the node runs");
                }
                sleep(ROUND).await;
            }
            sleep(SETTLED).await;
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
        let after = host.all_usage();
        assert_eq!(after, before);
    });
}

/// How many requests had each ending.
type Endings = Rc<RefCell<BTreeMap<&'static str, usize>>>;

impl Peers {
    /// Changes the endpoint list in some rounds: it is empty, or has some of the endpoints.
    async fn vary_list(&self, round: usize, listed: &[ListedEndpoint]) {
        match round % 400 {
            100 => self.list(ListKind::Snapshot, vec![]).await,
            130 => self.list(ListKind::Snapshot, listed.to_vec()).await,
            200 => {
                let mut draining = listed[0].clone();
                draining.entry.state = EndpointState::Draining;
                self.list(ListKind::Delta, vec![draining]).await;
            }
            250 => self.list(ListKind::Delta, listed[..1].to_vec()).await,
            _ => {}
        }
    }

    /// Sends a round of requests, and disconnects the clients of some.
    async fn request_round(&self, round: usize, endings: &Endings) {
        const REQUESTS: usize = 50;
        let mut disconnecting = Vec::new();
        for number in 0..REQUESTS {
            // Most requests are ordinary, since every endpoint would be ejected throughout
            // otherwise.
            let kind = if number % 5 == 0 {
                (round + number / 5) % ENDINGS.len()
            } else {
                number % 3
            };
            let (class, script, disconnects) = ENDINGS[kind];
            let short = number % 7 == 6;
            let remaining = if short {
                Duration::from_millis(number as u64)
            } else {
                DEADLINE
            };
            let (id, response) = self.request(class, script, remaining).await;
            match disconnects {
                Some(after) => disconnecting.push((id, after, response)),
                None => drop(spawn_local(count_ending(response, endings.clone()))),
            }
        }
        for (id, after, response) in disconnecting {
            sleep(after).await;
            drop(response);
            self.disconnect(id).await;
        }
    }
}

/// Waits for the final response, and counts the request's ending.
async fn count_ending(response: oneshot::Receiver<FinalResponse>, endings: Endings) {
    let ending = match response.await {
        Ok(FinalResponse::Served(_)) => "served",
        Ok(FinalResponse::Shed(_)) => "shed",
        Ok(FinalResponse::Failed) => "failed",
        Ok(FinalResponse::TimedOut) => "timed out",
        Err(_) => "no response",
    };
    *endings.borrow_mut().entry(ending).or_default() += 1;
}
