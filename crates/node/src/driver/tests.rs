//! Nothing that belongs to a request outlives it, whatever event finished it. Time is virtual: it
//! moves on only when every task waits.

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

fn is_shed(answer: &FinalResponse) -> bool {
    matches!(answer, FinalResponse::Shed(Some(after)) if *after == Duration::from_millis(500))
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
            host.usage().0.requests,
            1,
            "it waits for a server to be listed"
        );
        assert_eq!(host.usage().1, BODY);
        let answer = host.run(async |_| pending.await.expect("an answer")).await;
        assert!(is_shed(&answer), "{answer:?}");
        assert_eq!(host.usage(), before);
    });
}

#[test]
fn a_request_shed_on_the_result_of_a_health_check_leaves_nothing() {
    in_virtual_time(async {
        let mut host = Host::start(&config("pull", 0.0));
        let crowded = scripted_endpoint::start(1, "inflight=50,queue=40").await;
        host.run(async |peers| peers.list(ListKind::Snapshot, vec![crowded]).await)
            .await;
        let before = host.usage();
        let mut refused = 0;
        for _ in 0..20 {
            let answer = host
                .run(async |peers| {
                    let (_, answer) = peers.request(SUBMIT, "ok", DEADLINE).await;
                    answer.await.expect("an answer")
                })
                .await;
            refused += usize::from(is_shed(&answer));
            drop(answer);
            // A served request may have a cancelled attempt in flight.
            host.run(async |_| sleep(SETTLED).await).await;
            assert_eq!(host.usage(), before);
        }
        assert!(
            refused > 10,
            "a server that reports so much is not sent to: {refused} refused"
        );
    });
}

#[test]
fn a_request_whose_only_endpoint_is_removed_leaves_nothing() {
    in_virtual_time(async {
        let mut host = Host::start(&config("pull", 0.0));
        // Nothing accepts there, so a health check takes its time.
        let lost = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let endpoint = listed(1, lost.local_addr().expect("its address"));
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
        assert_eq!(host.usage().0.requests, 1, "it is held");
        let answer = host.run(async |_| pending.await.expect("an answer")).await;
        assert!(is_shed(&answer), "{answer:?}");
        host.run(async |_| sleep(SETTLED).await).await;
        assert_eq!(host.usage(), before);
    });
}

/// The balancer may answer on any event: the table must not depend on which.
#[test]
fn a_request_answered_by_an_update_of_the_endpoint_list_leaves_nothing() {
    in_virtual_time(async {
        let mut host = Host::start(&config("pull", 0.0));
        host.run(async |peers| peers.list(ListKind::Snapshot, vec![]).await)
            .await;
        let before = host.usage();
        for refuse in [true, false] {
            let (id, answer) = host
                .request_and_advance(SUBMIT, "ok", Duration::from_millis(1))
                .await;
            assert_eq!(host.usage().0.requests, 1, "it is held");
            host.driver
                .on_message(Message::EndpointList(EndpointListUpdate {
                    kind: ListKind::Snapshot,
                    endpoints: vec![],
                }));
            let retry_after = None;
            let action = if refuse {
                Action::Shed { id, retry_after }
            } else {
                Action::Fail { id }
            };
            host.driver.execute(action);
            assert!(answer.await.is_ok());
            assert_eq!(host.usage(), before);
        }
    });
}

#[test]
fn a_request_unanswered_at_its_deadline_leaves_nothing() {
    in_virtual_time(async {
        // Late responses count, so that the deadline is what ends it.
        let mut host = Host::start(&config("piggyback", 0.5));
        let silent = scripted_endpoint::start(1, "").await;
        host.run(async |peers| peers.list(ListKind::Snapshot, vec![silent]).await)
            .await;
        let before = host.usage();
        for class in [READ, SUBMIT, CORRECT] {
            let (_, answer) = host
                .request_and_advance(class, "silence", DEADLINE / 2)
                .await;
            assert_eq!(host.usage().0.requests, 1, "it has an attempt out");
            let answer = host.run(async |_| answer.await.expect("an answer")).await;
            assert!(!matches!(answer, FinalResponse::Served(_)), "{answer:?}");
            host.run(async |_| sleep(SETTLED).await).await;
            assert_eq!(host.usage(), before);
        }
    });
}

#[test]
fn a_body_ends_its_memory_lease_with_the_final_answer_though_an_attempt_is_in_flight() {
    in_virtual_time(async {
        let mut host = Host::start(&config("piggyback", 0.5));
        let silent = scripted_endpoint::start(1, "").await;
        host.run(async |peers| peers.list(ListKind::Snapshot, vec![silent]).await)
            .await;
        let (id, _answer) = host
            .request_and_advance(CORRECT, "silence", DEADLINE / 2)
            .await;
        assert_eq!(host.usage().1, BODY);
        // The table alone, so that the attempt is not cancelled at once.
        assert!(host.driver.requests.client_disconnected(id));
        let (usage, bytes) = host.usage();
        assert_eq!((usage.requests, bytes), (1, 0));
    });
}

/// Class, script, and how long after its request the client disconnects, if it does.
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
        for ending in ["served", "refused", "failed", "timed out"] {
            assert!(
                endings.get(ending).is_some_and(|count| *count > 100),
                "{ending}: {endings:?}"
            );
        }
        assert_eq!(endings.get("never answered"), None);
        let after = host.all_usage();
        assert_eq!(after, before);
    });
}

/// How often each ending was seen.
type Endings = Rc<RefCell<BTreeMap<&'static str, usize>>>;

impl Peers {
    /// Now and then the list is empty, or names some of the endpoints.
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
            // Mostly ordinary ones, or every endpoint would be ejected throughout.
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
            let (id, answer) = self.request(class, script, remaining).await;
            match disconnects {
                Some(after) => disconnecting.push((id, after, answer)),
                None => drop(spawn_local(count(answer, endings.clone()))),
            }
        }
        for (id, after, answer) in disconnecting {
            sleep(after).await;
            drop(answer);
            self.disconnect(id).await;
        }
    }
}

async fn count(answer: oneshot::Receiver<FinalResponse>, endings: Endings) {
    let ending = match answer.await {
        Ok(FinalResponse::Served(_)) => "served",
        Ok(FinalResponse::Shed(_)) => "refused",
        Ok(FinalResponse::Failed) => "failed",
        Ok(FinalResponse::TimedOut) => "timed out",
        Err(_) => "never answered",
    };
    *endings.borrow_mut().entry(ending).or_default() += 1;
}
