pub mod harness;

use super::error::CheckoutError;
use super::{Pool, PoolUsage};
use crate::message::ListedEndpoint;
use harness::{ENDPOINT, MAX_CONNECTIONS, fill_backlog, with_cooldown, with_pool};
use ottertiller_balancer::{EndpointId, EndpointState, ListKind};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpSocket;

/// How many connections to the endpoint are idle in the pool.
fn idle(pool: &Pool) -> usize {
    pool.endpoints
        .borrow()
        .slots()
        .get(&ENDPOINT)
        .map_or(0, |slot| slot.idle.len())
}

#[test]
fn a_waiter_takes_a_released_connection_and_its_dial_is_kept() {
    with_pool(async |pool, _listener, _| {
        let first = pool.checkout(ENDPOINT).await.expect("a connection");
        let freed = first.task.id();
        let mut second = std::pin::pin!(pool.checkout(ENDPOINT));
        tokio::select! {
            biased;
            _ = &mut second => panic!("the dial cannot have succeeded yet"),
            () = std::future::ready(()) => pool.release(first),
        }
        let taken = second.await.expect("a connection");
        assert_eq!(taken.task.id(), freed);
        while idle(&pool) == 0 {
            tokio::task::yield_now().await;
        }
        let late = pool.checkout(ENDPOINT).await.expect("a connection");
        assert_ne!(late.task.id(), freed);
        assert_eq!(pool.limit.open_count(), 2, "nothing further was dialled");
    });
}

/// Neither the runtime nor hyper have had a turn since the bytes came: only the kernel knows of
/// them.
#[test]
fn a_connection_with_unread_bytes_is_not_reused() {
    use std::io::Write;
    with_pool(async |pool, listener, _| {
        let first = pool.checkout(ENDPOINT).await.expect("a connection");
        let (stream, _) = listener.accept().await.expect("the dial");
        let mut endpoint = stream.into_std().expect("its stream");
        let used = first.task.id();
        // Hyper has its first turn before, and would see nothing.
        tokio::task::yield_now().await;
        pool.release(first);
        assert_eq!(idle(&pool), 1);
        endpoint
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            .expect("a node");
        let next = pool.checkout(ENDPOINT).await.expect("a connection");
        assert_ne!(next.task.id(), used);
    });
}

/// The second copy of a response may be on its way when the next request is sent.
#[test]
fn a_connection_cools_down_after_a_response() {
    for (cooldown, again) in [(Duration::from_secs(600), false), (Duration::ZERO, true)] {
        with_cooldown(cooldown, async |pool, _listener, _| {
            let first = pool.checkout(ENDPOINT).await.expect("a connection");
            let used = first.task.id();
            pool.release_after_response(first);
            let next = pool.checkout(ENDPOINT).await.expect("a connection");
            assert_eq!(next.task.id() == used, again, "after {cooldown:?}");
        });
    }
}

#[test]
fn a_waiter_gets_a_cooled_connection_if_no_dial_succeeds() {
    with_cooldown(Duration::from_millis(1), async |pool, listener, _| {
        let first = pool.checkout(ENDPOINT).await.expect("a connection");
        let used = first.task.id();
        let _clients = fill_backlog(&listener).await;
        let mut second = std::pin::pin!(pool.checkout(ENDPOINT));
        tokio::select! {
            biased;
            _ = &mut second => panic!("no dial succeeds"),
            () = std::future::ready(()) => pool.release_after_response(first),
        }
        assert_eq!(
            second.await.ok().map(|connection| connection.task.id()),
            Some(used)
        );
    });
}

/// What was decided for an endpoint that was ready and warm is not written to one that drains, or
/// has just been started again, at its old address or elsewhere.
#[test]
fn a_waiter_fails_at_once_if_its_endpoint_drains_or_restarts() {
    let drains = |endpoint: &mut ListedEndpoint| endpoint.entry.state = EndpointState::Draining;
    let restarts =
        |endpoint: &mut ListedEndpoint| endpoint.entry.started = Some(Duration::from_secs(1));
    for (case, change) in [&drains as &dyn Fn(&mut ListedEndpoint), &restarts]
        .into_iter()
        .enumerate()
    {
        with_pool(async |pool, listener, mut endpoint| {
            let _clients = fill_backlog(&listener).await;
            let mut waiting = std::pin::pin!(pool.checkout(ENDPOINT));
            tokio::select! {
                biased;
                _ = &mut waiting => panic!("no dial succeeds"),
                () = std::future::ready(()) => {
                    change(&mut endpoint);
                    pool.update(ListKind::Delta, &[endpoint]);
                }
            }
            // Not that its dial has failed, which says nothing of the endpoint as it is now.
            assert_eq!(
                waiting.await.err(),
                Some(CheckoutError::EndpointUnavailable),
                "case {case}"
            );
        });
    }
}

#[test]
fn a_connection_delivered_to_a_cancelled_waiter_is_released() {
    with_pool(async |pool, _listener, _| {
        let first = pool.checkout(ENDPOINT).await.expect("a connection");
        let freed = first.task.id();
        let mut second = Box::pin(pool.checkout(ENDPOINT));
        tokio::select! {
            biased;
            _ = &mut second => panic!("the dial cannot have succeeded yet"),
            () = std::future::ready(()) => pool.release(first),
        }
        assert_eq!(idle(&pool), 0);
        drop(second);
        assert_eq!(idle(&pool), 1);
        assert_eq!(
            pool.checkout(ENDPOINT)
                .await
                .ok()
                .map(|connection| connection.task.id()),
            Some(freed)
        );
    });
}

/// A second endpoint's number.
const UNREACHABLE: EndpointId = EndpointId(2);

#[test]
fn a_failed_dial_returns_its_permit() {
    with_pool(async |pool, _listener, mut endpoint| {
        // Its port is bound, so that nobody else gets it, and not listened on.
        let socket = TcpSocket::new_v4().expect("a socket");
        socket
            .bind(SocketAddr::from(([127, 0, 0, 1], 0)))
            .expect("a port");
        endpoint.address = socket.local_addr().expect("its address");
        endpoint.entry.id = UNREACHABLE;
        pool.update(ListKind::Delta, &[endpoint]);
        assert_eq!(
            pool.checkout(UNREACHABLE).await.err(),
            Some(CheckoutError::ConnectFailed)
        );
        let usage = pool.usage();
        assert_eq!(
            (
                usage.open_connections,
                usage.dials_in_flight,
                usage.waiting_attempts
            ),
            (0, 0, 0)
        );
    });
}

#[test]
fn at_the_limit_only_an_idle_connection_makes_room() {
    with_pool(async |pool, _listener, _| {
        let mut in_use = Vec::new();
        for _ in 0..MAX_CONNECTIONS {
            in_use.push(pool.checkout(ENDPOINT).await.expect("a connection"));
        }
        assert_eq!(
            pool.checkout(ENDPOINT).await.err(),
            Some(CheckoutError::ConnectionLimit)
        );
        let cooling = in_use.pop().expect("a connection");
        let closed = cooling.task.id();
        pool.release_after_response(cooling);
        let next = pool.checkout(ENDPOINT).await.expect("a connection");
        assert_ne!(next.task.id(), closed);
        assert_eq!(pool.limit.open_count(), MAX_CONNECTIONS);
    });
}

#[test]
fn an_endpoint_missing_from_a_snapshot_is_removed_entirely() {
    with_pool(async |pool, _listener, _| {
        let idle_connection = pool.checkout(ENDPOINT).await.expect("a connection");
        let in_use = pool.checkout(ENDPOINT).await.expect("a connection");
        pool.release(idle_connection);
        pool.update(ListKind::Snapshot, &[]);
        assert_eq!(pool.destination(&in_use), None);
        pool.release(in_use);
        assert_eq!(
            pool.checkout(ENDPOINT).await.err(),
            Some(CheckoutError::EndpointUnavailable)
        );
        let nothing = PoolUsage {
            endpoints: 0,
            open_connections: 0,
            waiting_attempts: 0,
            dials_in_flight: 0,
        };
        assert_eq!(pool.usage(), nothing);
    });
}
