use super::*;
use std::io::Write;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// What the kernel may take to hand on what a peer did, in real time.
const KERNEL: Duration = Duration::from_millis(20);
/// A client counts as gone 0.1 s after it left. Time is the runtime's own, and moves on only when all wait.
const GONE: Duration = Duration::from_millis(100);

#[test]
fn a_peer_that_left_is_known_to_have_whatever_waits_to_be_read_before_that() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.expect("a runtime").block_on(async {
        for (waits, resets) in [(0, false), (1, false), (CHUNK, false), (5 * CHUNK, false), (5 * CHUNK, true)]
        {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("its address");
            let mut peer = std::net::TcpStream::connect(address).expect("the listener accepts");
            let (stream, _) = listener.accept().await.expect("the peer");
            let (_socket, handle) = Socket::new(stream);
            peer.write_all(&vec![b'.'; waits]).expect("room");
            assert!(timeout(GONE, handle.left()).await.is_err(), "it is there, with {waits} bytes waiting");
            if resets {
                SockRef::from(&peer).set_linger(Some(Duration::ZERO)).expect("a reset at its close");
            }
            drop(peer);
            // The kernel is to have it before time moves on: it may be held up where the machine is busy.
            std::thread::sleep(KERNEL);
            let known = timeout(GONE, handle.left()).await;
            assert!(known.is_ok(), "{waits} bytes wait before its end, resets: {resets}");
        }
    });
}
