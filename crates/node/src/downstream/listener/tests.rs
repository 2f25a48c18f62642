//! Accepts that fail in the ways that Linux documents. The listener is scripted: a test cannot make
//! the system run out of anything without doing so to everything else on the machine.

use super::*;
use crate::clock::Clock;
use crate::downstream::{Downstream, DownstreamOptions};
use crate::memory_budget::Budget;
use crate::socket::fault_injection::InjectedFaults;
use rustix::io::Errno;
use std::cell::Cell;
use std::io::ErrorKind;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};

const MAX_CONNECTIONS: usize = 64;
/// What the kernel may take to hand on what was written, in real time.
const KERNEL: Duration = Duration::from_millis(1);

/// Fails so many times for each connection that there is to be accepted.
struct FailingListener {
    listener: TcpListener,
    errno: Errno,
    /// How often it fails from now on.
    failures_each: Rc<Cell<u32>>,
    failures_left: u32,
    /// The connection that the failures hold up.
    waiting: Option<TcpStream>,
    failures: Rc<Cell<u32>>,
}

impl Listener for FailingListener {
    async fn accept(&mut self) -> io::Result<TcpStream> {
        if self.waiting.is_none() {
            let (stream, _) = self.listener.accept().await?;
            self.waiting = Some(stream);
            self.failures_left = self.failures_each.get();
        }
        if self.failures_left > 0 {
            self.failures_left -= 1;
            self.failures.set(self.failures.get() + 1);
            return Err(self.errno.into());
        }
        self.waiting.take().ok_or(ErrorKind::WouldBlock.into())
    }
}

fn server() -> Rc<Server> {
    let options = DownstreamOptions {
        max_connections: MAX_CONNECTIONS,
        classes: Vec::new(),
        tenants: Vec::new(),
        max_retry_after: None,
    };
    let (driver, _) = mpsc::channel(1);
    let is_ready = Rc::new(Cell::new(true));
    let budget = Budget::new(1 << 20);
    Downstream::new(Clock::start(), options, budget, driver, is_ready).server
}

/// A client's connection, on which [`ask`] gets an answer.
async fn connect(address: std::net::SocketAddr) -> TcpStream {
    let client = TcpStream::connect(address).await.expect("the node listens");
    // Time does not move on before the node has it.
    std::thread::sleep(KERNEL);
    sleep(Duration::from_millis(30)).await;
    client
}

/// Whether the client's request is answered.
async fn ask(client: &mut TcpStream) -> bool {
    let request = b"GET /health/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n";
    let mut answer = [0; 12];
    client.write_all(request).await.is_ok()
        && client
            .read(&mut answer)
            .await
            .is_ok_and(|count| answer[..count].starts_with(b"HTTP/1.1 200"))
}

/// Drains what is left of an answer.
async fn drain(client: &mut TcpStream) {
    std::thread::sleep(KERNEL);
    let mut rest = [0; 1024];
    while client.try_read(&mut rest).is_ok_and(|count| count > 0) {}
}

/// What a test sets and sees of a failing listener.
struct Failures {
    each: Rc<Cell<u32>>,
    count: Rc<Cell<u32>>,
}

/// Plays clients against a listener that fails with that error, as soon as the test sets how often.
fn with_failures(errno: Errno, test: impl AsyncFnOnce(std::net::SocketAddr, Failures)) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("its address");
        let failures = Failures {
            each: Rc::default(),
            count: Rc::default(),
        };
        let failing = FailingListener {
            listener,
            errno,
            failures_each: failures.each.clone(),
            failures_left: 0,
            waiting: None,
            failures: failures.count.clone(),
        };
        let mut acceptor = Acceptor::new(failing, server());
        let running = spawn_local(async move { acceptor.run().await });
        test(address, failures).await;
        running.abort();
    })
}

#[test]
fn a_failed_accept_closes_no_connection_unless_this_process_has_no_descriptor_left() {
    const CLIENTS: u32 = 12;
    for errno in [
        Errno::CONNABORTED,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::PROTO,
        Errno::INTR,
    ] {
        with_failures(errno, async |address, failures| {
            failures.each.set(3);
            let mut clients = Vec::new();
            for _ in 0..CLIENTS {
                clients.push(connect(address).await);
            }
            for client in &mut clients {
                assert!(
                    ask(client).await,
                    "{errno:?}: a client was closed with no answer"
                );
            }
            assert_eq!(failures.count.get(), CLIENTS * 3, "{errno:?} is reached");
        });
    }
}

/// One that has just connected may have sent its request, which is lost with it; one whose request
/// was answered sends its next one again elsewhere.
#[test]
fn without_descriptors_a_connection_whose_first_request_may_be_on_its_way_is_closed_last() {
    with_failures(Errno::MFILE, async |address, failures| {
        let mut served = connect(address).await;
        assert!(ask(&mut served).await);
        drain(&mut served).await;
        let mut new = connect(address).await;
        failures.each.set(1);
        let mut third = connect(address).await;
        assert!(ask(&mut new).await, "the new client was closed");
        assert!(ask(&mut third).await);
        assert!(!ask(&mut served).await, "the served one was to be closed");
        assert_eq!(failures.count.get(), 1);
    });
}

#[test]
fn without_descriptors_a_client_that_says_nothing_is_closed_before_one_that_is_served() {
    with_failures(Errno::MFILE, async |address, failures| {
        let mut silent = connect(address).await;
        let mut served = connect(address).await;
        assert!(ask(&mut served).await);
        drain(&mut served).await;
        sleep(Duration::from_millis(500)).await;
        failures.each.set(1);
        let _third = connect(address).await;
        assert!(ask(&mut served).await, "the served one was closed");
        assert!(!ask(&mut silent).await, "the silent one was to be closed");
    });
}

/// At the shutdown the connections in the queue are accepted once more, and the listener closes.
#[test]
fn a_failed_accept_does_not_close_the_listener_on_the_connections_in_its_queue() {
    const CLIENTS: u32 = 5;
    for errno in [Errno::CONNABORTED, Errno::NFILE] {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build();
        LocalSet::new().block_on(&runtime.expect("a runtime"), async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("its address");
            let mut clients = Vec::new();
            for _ in 0..CLIENTS {
                clients.push(connect(address).await);
            }
            let count = Rc::new(Cell::new(0));
            let failing = FailingListener {
                listener,
                errno,
                failures_each: Rc::new(Cell::new(3)),
                failures_left: 0,
                waiting: None,
                failures: count.clone(),
            };
            Acceptor::new(failing, server()).finish().await;
            for client in &mut clients {
                assert!(
                    ask(client).await,
                    "{errno:?}: a client in the queue was closed with no answer"
                );
            }
            assert_eq!(count.get(), CLIENTS * 3);
        });
    }
}

#[test]
fn an_interrupted_or_short_call_costs_no_client_its_answer() {
    for fault in [
        || InjectedFaults::errors(Errno::INTR, 2),
        InjectedFaults::short_reads,
    ] {
        with_failures(Errno::INTR, async |address, _| {
            let faults = fault();
            for _ in 0..10 {
                let mut client = connect(address).await;
                for _ in 0..2 {
                    assert!(ask(&mut client).await, "a client was closed with no answer");
                    drain(&mut client).await;
                }
            }
            assert!(faults.count() >= 20, "{} faults", faults.count());
        });
    }
}
