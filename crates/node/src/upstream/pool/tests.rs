pub(crate) mod harness;

use super::error::CheckoutError;
use super::{Pool, PoolUsage};
use crate::message::ListedEndpoint;
use harness::{ENDPOINT, MAX_CONNECTIONS, fill_backlog, with_cooldown, with_pool};
use ottertiller_balancer::{EndpointId, EndpointState, ListKind};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpSocket;

/// Returns the number of idle connections to the endpoint in the pool.
fn idle_count(pool: &Pool) -> usize {
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
        let released_task = first.task.id();
        let mut second = std::pin::pin!(pool.checkout(ENDPOINT));
        tokio::select! {
            biased;
            _ = &mut second => panic!("the dial succeeded before its task ran"),
            () = std::future::ready(()) => pool.release_without_cooldown(first),
        }
        let second = second.await.expect("a connection");
        assert_eq!(second.task.id(), released_task);
        while idle_count(&pool) == 0 {
            tokio::task::yield_now().await;
        }
        let third = pool.checkout(ENDPOINT).await.expect("a connection");
        assert_ne!(third.task.id(), released_task);
        assert_eq!(
            pool.limit.open_count(),
            2,
            "no further connection is dialled"
        );
    });
}

/// Neither the runtime nor hyper has run since the bytes arrived, so only the kernel knows of them.
/// If the connection were reused, they would be read as the response to its next request.
#[test]
fn a_connection_with_unread_bytes_is_not_reused() {
    use std::io::Write;
    with_pool(async |pool, listener, _| {
        let first = pool.checkout(ENDPOINT).await.expect("a connection");
        let (stream, _) = listener.accept().await.expect("the dial");
        let mut endpoint = stream.into_std().expect("a standard stream");
        let first_task = first.task.id();
        // Lets hyper poll the stream once before any byte arrives.
        tokio::task::yield_now().await;
        pool.release_without_cooldown(first);
        assert_eq!(idle_count(&pool), 1);
        endpoint
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            .expect("write to the node");
        let next = pool.checkout(ENDPOINT).await.expect("a connection");
        assert_ne!(next.task.id(), first_task);
    });
}

/// A duplicate of a response that arrives after the next request was sent would be read as the
/// response to that request.
#[test]
fn a_connection_cools_down_after_a_response() {
    for (cooldown, is_reused) in [(Duration::from_secs(600), false), (Duration::ZERO, true)] {
        with_cooldown(cooldown, async |pool, _listener, _| {
            let first = pool.checkout(ENDPOINT).await.expect("a connection");
            let first_task = first.task.id();
            pool.release_with_cooldown(first);
            let next = pool.checkout(ENDPOINT).await.expect("a connection");
            assert_eq!(
                next.task.id() == first_task,
                is_reused,
                "cool-down of {cooldown:?}"
            );
        });
    }
}

#[test]
fn a_waiter_gets_a_cooled_connection_if_no_dial_succeeds() {
    with_cooldown(Duration::from_millis(1), async |pool, listener, _| {
        let first = pool.checkout(ENDPOINT).await.expect("a connection");
        let first_task = first.task.id();
        let _clients = fill_backlog(&listener).await;
        let mut second = std::pin::pin!(pool.checkout(ENDPOINT));
        tokio::select! {
            biased;
            _ = &mut second => panic!("a dial succeeded despite the full backlog"),
            () = std::future::ready(()) => pool.release_with_cooldown(first),
        }
        assert_eq!(
            second.await.ok().map(|connection| connection.task.id()),
            Some(first_task)
        );
    });
}

/// An attempt was permitted for an endpoint that was ready and warmed up. If the endpoint drains or
/// restarts while the attempt waits for a connection, its request must not be written.
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
            let mut waiter = std::pin::pin!(pool.checkout(ENDPOINT));
            tokio::select! {
                biased;
                _ = &mut waiter => panic!("a dial succeeded despite the full backlog"),
                () = std::future::ready(()) => {
                    change(&mut endpoint);
                    pool.update(ListKind::Delta, &[endpoint]);
                }
            }
            // Not `ConnectFailed`: that would count as a failure of the endpoint in its new state.
            assert_eq!(
                waiter.await.err(),
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
        let released_task = first.task.id();
        let mut second = Box::pin(pool.checkout(ENDPOINT));
        tokio::select! {
            biased;
            _ = &mut second => panic!("the dial succeeded before its task ran"),
            () = std::future::ready(()) => pool.release_without_cooldown(first),
        }
        assert_eq!(idle_count(&pool), 0);
        drop(second);
        assert_eq!(idle_count(&pool), 1);
        assert_eq!(
            pool.checkout(ENDPOINT)
                .await
                .ok()
                .map(|connection| connection.task.id()),
            Some(released_task)
        );
    });
}

/// The id of an endpoint whose port refuses connections.
const UNREACHABLE: EndpointId = EndpointId(2);

#[test]
fn a_failed_dial_returns_its_permit() {
    with_pool(async |pool, _listener, mut endpoint| {
        // The port is bound, so that no other process gets it, but nothing listens on it.
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
fn at_the_connection_limit_only_an_idle_connection_is_closed() {
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
        pool.release_with_cooldown(cooling);
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
        pool.release_without_cooldown(idle_connection);
        pool.update(ListKind::Snapshot, &[]);
        assert_eq!(pool.destination(&in_use), None);
        pool.release_without_cooldown(in_use);
        assert_eq!(
            pool.checkout(ENDPOINT).await.err(),
            Some(CheckoutError::EndpointUnavailable)
        );
        let empty = PoolUsage {
            endpoints: 0,
            open_connections: 0,
            waiting_attempts: 0,
            dials_in_flight: 0,
        };
        assert_eq!(pool.usage(), empty);
    });
}
