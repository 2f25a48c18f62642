//! A pool with one endpoint, and the listener of that endpoint.

use super::super::{Pool, PoolOptions, RESPONSE_COOLDOWN};
use crate::clock::Clock;
use crate::message::ListedEndpoint;
use ottertiller_balancer::{EndpointEntry, EndpointId, EndpointState, ListKind};
use socket2::SockRef;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::timeout;

/// The endpoint's id.
pub(crate) const ENDPOINT: EndpointId = EndpointId(1);

/// Runs a test with a pool that knows one endpoint, the listener of that endpoint, and its entry in
/// the endpoint list.
pub(crate) fn with_pool<T>(
    test: impl AsyncFnOnce(Rc<Pool>, TcpListener, ListedEndpoint) -> T,
) -> T {
    with_cooldown(RESPONSE_COOLDOWN, test)
}

/// Runs a test as [`with_pool`] does, with the given cool-down after responses.
pub(crate) fn with_cooldown<T>(
    response_cooldown: Duration,
    test: impl AsyncFnOnce(Rc<Pool>, TcpListener, ListedEndpoint) -> T,
) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let pool = Pool::start(Clock::start(), options(response_cooldown));
        let entry = EndpointEntry {
            id: ENDPOINT,
            state: EndpointState::Ready,
            ..EndpointEntry::default()
        };
        let endpoint = ListedEndpoint {
            entry,
            address: listener.local_addr().expect("its address"),
        };
        pool.update(ListKind::Snapshot, std::slice::from_ref(&endpoint));
        test(pool, listener, endpoint).await
    })
}

/// The pool's limit on open connections.
pub(crate) const MAX_CONNECTIONS: usize = 16;

fn options(response_cooldown: Duration) -> PoolOptions {
    PoolOptions {
        max_connections: MAX_CONNECTIONS,
        connect_timeout: Duration::from_millis(250),
        endpoint_idle_timeout: Duration::from_secs(15),
        response_cooldown,
    }
}

/// Fills the listener's backlog, so that no further dial succeeds. Returns the connections that
/// fill it.
pub(crate) async fn fill_backlog(listener: &TcpListener) -> Vec<TcpStream> {
    SockRef::from(listener)
        .listen(0)
        .expect("shorten the backlog");
    let address = listener.local_addr().expect("its address");
    let mut clients = Vec::new();
    while let Ok(Ok(client)) =
        timeout(Duration::from_millis(500), TcpStream::connect(address)).await
    {
        clients.push(client);
    }
    clients
}
