use super::Socket;
use super::fault_injection::InjectedFaults;
use super::read_ahead::MAX_READ_AHEAD_BYTES;
use rustix::io::Errno;
use socket2::SockRef;
use std::io::Write;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// How long the kernel may take to deliver what a peer did, in real time.
const KERNEL_DELAY: Duration = Duration::from_millis(20);
/// How soon the close of a peer must be noticed: a client counts as disconnected 0.1 s after it
/// closed. The runtime's clock is paused, and advances only while every task waits.
const DISCONNECT_DEADLINE: Duration = Duration::from_millis(100);

#[test]
fn a_disconnect_is_noticed_with_and_without_unread_bytes() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    runtime.expect("a runtime").block_on(async {
        for (unread_bytes, resets) in [
            (0, false),
            (1, false),
            (MAX_READ_AHEAD_BYTES, false),
            (5 * MAX_READ_AHEAD_BYTES, false),
            (5 * MAX_READ_AHEAD_BYTES, true),
        ] {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("its address");
            let mut peer = std::net::TcpStream::connect(address).expect("connect to the listener");
            let (stream, _) = listener.accept().await.expect("the peer");
            let (_socket, handle) = Socket::new(stream);
            peer.write_all(&vec![b'.'; unread_bytes])
                .expect("write to the socket");
            assert!(
                timeout(DISCONNECT_DEADLINE, handle.peer_closed())
                    .await
                    .is_err(),
                "the peer is connected, with {unread_bytes} unread bytes"
            );
            if resets {
                SockRef::from(&peer)
                    .set_linger(Some(Duration::ZERO))
                    .expect("make the close a reset");
            }
            drop(peer);
            // The kernel must deliver the close before the paused clock advances, and on a busy
            // machine that takes real time.
            std::thread::sleep(KERNEL_DELAY);
            let noticed = timeout(DISCONNECT_DEADLINE, handle.peer_closed()).await;
            assert!(
                noticed.is_ok(),
                "the peer has closed, with {unread_bytes} unread bytes, reset: {resets}"
            );
        }
    });
}

#[test]
fn an_interrupted_call_signals_neither_data_nor_disconnect() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    runtime.expect("a runtime").block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("its address");
        let mut peer = std::net::TcpStream::connect(address).expect("connect to the listener");
        let (stream, _) = listener.accept().await.expect("the peer");
        let (_socket, handle) = Socket::new(stream);
        let faults = InjectedFaults::errors(Errno::INTR, 2);
        assert!(
            (0..2).all(|_| handle.has_nothing_to_read()),
            "the peer is connected and has sent nothing"
        );
        for _ in 0..4 {
            peer.write_all(b".").expect("write to the socket");
            std::thread::sleep(KERNEL_DELAY);
            assert!(
                timeout(DISCONNECT_DEADLINE, handle.peer_closed())
                    .await
                    .is_err(),
                "the peer is connected"
            );
        }
        assert!(faults.count() >= 4);
    });
}
