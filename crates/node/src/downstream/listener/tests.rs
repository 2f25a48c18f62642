//! Tests of the accept errors that Linux documents. A fake listener returns them, since a test
//! cannot exhaust a system resource without affecting all other processes on the machine.

mod full_registry;

use super::{Acceptor, HttpServer, Listener};
use crate::clock::Clock;
use crate::downstream::{ClassOptions, Downstream, DownstreamOptions};
use crate::memory_budget::MemoryBudget;
use crate::message::DriverMessage;
use crate::socket::fault_injection::InjectedFaults;
use ottertiller_balancer::Idempotency;
use rustix::io::Errno;
use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

const MAX_CONNECTIONS: usize = 64;
const BUDGET_BYTES: usize = 1 << 20;
/// How long the kernel may take to deliver written data or a new connection, in real time.
const KERNEL_DELAY: Duration = Duration::from_millis(1);
/// How long the node may take to serve a new connection, in virtual time.
const ACCEPT_DELAY: Duration = Duration::from_millis(30);

/// The accept errors that a [`FailingListener`] returns. Shared with the test.
#[derive(Clone, Default)]
struct AcceptErrors {
    /// The number of errors before each connection that the listener accepts from now on.
    per_connection: Rc<Cell<u32>>,
    /// The number of errors returned so far.
    count: Rc<Cell<u32>>,
}

/// A listener that returns errors before each connection that it accepts.
struct FailingListener {
    listener: TcpListener,
    errno: Errno,
    errors: AcceptErrors,
    /// The number of errors to return before the waiting connection.
    errors_left: u32,
    /// The connection that is returned after the errors.
    waiting: Option<TcpStream>,
}

impl FailingListener {
    fn new(listener: TcpListener, errno: Errno, errors: AcceptErrors) -> Self {
        FailingListener {
            listener,
            errno,
            errors,
            errors_left: 0,
            waiting: None,
        }
    }
}

impl Listener for FailingListener {
    async fn accept(&mut self) -> io::Result<TcpStream> {
        if self.waiting.is_none() {
            let (stream, _) = self.listener.accept().await?;
            self.waiting = Some(stream);
            self.errors_left = self.errors.per_connection.get();
        }
        if self.errors_left > 0 {
            self.errors_left -= 1;
            self.errors.count.set(self.errors.count.get() + 1);
            return Err(self.errno.into());
        }
        self.waiting.take().ok_or(ErrorKind::WouldBlock.into())
    }
}

/// How a request ended for its client.
#[derive(Debug, PartialEq, Eq)]
enum RequestEnd {
    /// It got a response with status 200.
    Served,
    /// The connection ended before that, or the response had another status.
    NotServed,
}

/// A client with one connection.
struct Client(TcpStream);

impl Client {
    /// Connects, and waits until the node has accepted the connection.
    async fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).await.expect("the node listens");
        // Blocks in real time, so that the kernel delivers the connection before virtual time
        // advances.
        std::thread::sleep(KERNEL_DELAY);
        sleep(ACCEPT_DELAY).await;
        Client(stream)
    }

    /// Connects `count` clients, one after another.
    async fn connect_several(address: SocketAddr, count: u32) -> Vec<Client> {
        let mut clients = Vec::new();
        for _ in 0..count {
            clients.push(Client::connect(address).await);
        }
        clients
    }

    /// Connects, sends a request, and reads its response, so that the connection is idle.
    async fn connect_and_request(address: SocketAddr) -> Client {
        let mut client = Client::connect(address).await;
        assert_eq!(client.request().await, RequestEnd::Served);
        client.read_rest();
        client
    }

    /// Sends a request, and reads the status of its response.
    async fn request(&mut self) -> RequestEnd {
        let request = b"GET /health/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n";
        let mut response = [0; 12];
        if self.0.write_all(request).await.is_err() {
            return RequestEnd::NotServed;
        }
        match self.0.read(&mut response).await {
            Ok(count) if response[..count].starts_with(b"HTTP/1.1 200") => RequestEnd::Served,
            Ok(_) | Err(_) => RequestEnd::NotServed,
        }
    }

    /// Reads what is left of a response.
    fn read_rest(&mut self) {
        std::thread::sleep(KERNEL_DELAY);
        let mut rest = [0; 1024];
        while self.0.try_read(&mut rest).is_ok_and(|count| count > 0) {}
    }
}

/// Builds the server as the node does, but without a driver. Readiness checks get status 200, and
/// other requests fail.
fn server(max_connections: usize) -> Rc<HttpServer> {
    let (driver, _) = mpsc::channel(1);
    downstream_with_driver(max_connections, driver).server
}

/// Builds the downstream side as the node does. Requests are passed to the driver with this inbox.
fn downstream_with_driver(
    max_connections: usize,
    driver: mpsc::Sender<DriverMessage>,
) -> Downstream {
    let class = ClassOptions {
        name: "correct".to_owned(),
        idempotency: Idempotency::NotIdempotent,
        deadline: Duration::from_secs(1),
    };
    let options = DownstreamOptions {
        max_connections,
        classes: vec![class],
        tenants: Vec::new(),
        max_retry_after: None,
    };
    let has_endpoint_list = Rc::new(Cell::new(true));
    let budget = MemoryBudget::new(BUDGET_BYTES);
    Downstream::new(Clock::start(), options, budget, driver, has_endpoint_list)
}

async fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    (listener, address)
}

fn in_virtual_time(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

/// Runs a test against an acceptor whose listener fails with `errno`. The test sets how often.
fn with_accept_errors(errno: Errno, test: impl AsyncFnOnce(SocketAddr, AcceptErrors)) {
    in_virtual_time(async {
        let (listener, address) = bind().await;
        let errors = AcceptErrors::default();
        let failing = FailingListener::new(listener, errno, errors.clone());
        let mut acceptor = Acceptor::new(failing, server(MAX_CONNECTIONS));
        let running = spawn_local(async move { acceptor.run().await });
        test(address, errors).await;
        running.abort();
    });
}

#[test]
fn accept_errors_other_than_emfile_close_no_connection() {
    const CLIENTS: u32 = 12;
    for errno in [
        Errno::CONNABORTED,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::PROTO,
        Errno::INTR,
    ] {
        with_accept_errors(errno, async |address, errors| {
            errors.per_connection.set(3);
            let mut clients = Client::connect_several(address, CLIENTS).await;
            for client in &mut clients {
                assert_eq!(client.request().await, RequestEnd::Served, "{errno:?}");
            }
            assert_eq!(
                errors.count.get(),
                CLIENTS * 3,
                "{errno:?}: injected errors"
            );
        });
    }
}

/// If a new connection is closed, its client's first request may be lost. A client that was served
/// before resends its request on a new connection.
#[test]
fn emfile_evicts_new_connections_last() {
    with_accept_errors(Errno::MFILE, async |address, errors| {
        let mut served = Client::connect_and_request(address).await;
        let mut new = Client::connect(address).await;
        errors.per_connection.set(1);
        let mut third = Client::connect(address).await;
        assert_eq!(new.request().await, RequestEnd::Served, "new");
        assert_eq!(third.request().await, RequestEnd::Served, "third");
        assert_eq!(served.request().await, RequestEnd::NotServed, "served");
        assert_eq!(errors.count.get(), 1);
    });
}

#[test]
fn emfile_evicts_silent_clients_before_served_ones() {
    with_accept_errors(Errno::MFILE, async |address, errors| {
        let mut silent = Client::connect(address).await;
        let mut served = Client::connect_and_request(address).await;
        sleep(Duration::from_millis(500)).await;
        errors.per_connection.set(1);
        let _third = Client::connect(address).await;
        assert_eq!(served.request().await, RequestEnd::Served, "served");
        assert_eq!(silent.request().await, RequestEnd::NotServed, "silent");
    });
}

/// At shutdown the connections in the kernel's accept queue are accepted before the listener is
/// closed.
#[test]
fn accept_errors_at_shutdown_lose_no_queued_connection() {
    const CLIENTS: u32 = 5;
    for errno in [Errno::CONNABORTED, Errno::NFILE] {
        in_virtual_time(async {
            let (listener, address) = bind().await;
            let mut clients = Client::connect_several(address, CLIENTS).await;
            let errors = AcceptErrors::default();
            errors.per_connection.set(3);
            let failing = FailingListener::new(listener, errno, errors.clone());
            Acceptor::new(failing, server(MAX_CONNECTIONS))
                .finish()
                .await;
            for client in &mut clients {
                assert_eq!(client.request().await, RequestEnd::Served, "{errno:?}");
            }
            assert_eq!(errors.count.get(), CLIENTS * 3);
        });
    }
}

#[test]
fn interrupted_and_short_system_calls_lose_no_response() {
    for inject_faults in [
        || InjectedFaults::errors(Errno::INTR, 2),
        InjectedFaults::short_reads,
    ] {
        with_accept_errors(Errno::INTR, async |address, _| {
            let faults = inject_faults();
            for _ in 0..10 {
                let mut client = Client::connect(address).await;
                for _ in 0..2 {
                    assert_eq!(client.request().await, RequestEnd::Served);
                    client.read_rest();
                }
            }
            assert!(faults.count() >= 20, "{} faults", faults.count());
        });
    }
}
