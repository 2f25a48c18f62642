use super::Socket;
use super::fault_injection::InjectedFaults;
use super::read_ahead::MAX_READ_AHEAD_BYTES;
use rustix::io::Errno;
use socket2::SockRef;
use std::io::Write;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// What the kernel may take to pass on what a peer did, in real time.
const KERNEL: Duration = Duration::from_millis(20);
/// A client counts as disconnected 0.1 s after it closed. Time is the runtime's own, and advances
/// only when all wait.
const DISCONNECT_DEADLINE: Duration = Duration::from_millis(100);

#[test]
fn a_disconnected_peer_is_noticed_whatever_waits_to_be_read() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    runtime.expect("a runtime").block_on(async {
        for (waits, resets) in [
            (0, false),
            (1, false),
            (MAX_READ_AHEAD_BYTES, false),
            (5 * MAX_READ_AHEAD_BYTES, false),
            (5 * MAX_READ_AHEAD_BYTES, true),
        ] {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("its address");
            let mut peer = std::net::TcpStream::connect(address).expect("the listener accepts");
            let (stream, _) = listener.accept().await.expect("the peer");
            let (_socket, handle) = Socket::new(stream);
            peer.write_all(&vec![b'.'; waits]).expect("room");
            assert!(
                timeout(DISCONNECT_DEADLINE, handle.peer_closed())
                    .await
                    .is_err(),
                "it is there, with {waits} bytes waiting"
            );
            if resets {
                SockRef::from(&peer)
                    .set_linger(Some(Duration::ZERO))
                    .expect("a reset at its close");
            }
            drop(peer);
            // The kernel is to have it before time moves on: it may be held up where the machine is
            // busy.
            std::thread::sleep(KERNEL);
            let known = timeout(DISCONNECT_DEADLINE, handle.peer_closed()).await;
            assert!(
                known.is_ok(),
                "{waits} bytes wait before its end, resets: {resets}"
            );
        }
    });
}

#[test]
fn an_interrupted_call_says_nothing_of_the_peer() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    runtime.expect("a runtime").block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("its address");
        let mut peer = std::net::TcpStream::connect(address).expect("the listener accepts");
        let (stream, _) = listener.accept().await.expect("the peer");
        let (_socket, handle) = Socket::new(stream);
        let faults = InjectedFaults::errors(Errno::INTR, 2);
        assert!(
            (0..2).all(|_| handle.has_nothing_to_read()),
            "it is open and has sent nothing"
        );
        for _ in 0..4 {
            peer.write_all(b".").expect("room");
            std::thread::sleep(KERNEL);
            assert!(
                timeout(DISCONNECT_DEADLINE, handle.peer_closed())
                    .await
                    .is_err(),
                "it is there"
            );
        }
        assert!(faults.count() >= 4);
    });
}
