//! A proxy in front of one endpoint that delays all bytes by a fixed time in both directions, as a
//! network does.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Starts a proxy and returns its address.
pub fn start(target: SocketAddr, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
    let address = listener.local_addr().expect("an address");
    spawn(move || {
        for near in listener.incoming().flatten() {
            spawn(move || {
                let Ok(far) = TcpStream::connect(target) else { return };
                let _ = near.set_nodelay(true);
                let _ = far.set_nodelay(true);
                let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else { return };
                forward(near, far, delay);
                forward(far2, near2, delay);
            });
        }
    });
    address
}

/// Forwards one direction: a thread reads, and another writes each part when it is due.
fn forward(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (sender, receiver) = channel::<(Instant, Vec<u8>)>();
    spawn(move || {
        let mut buffer = [0; 16 * 1024];
        loop {
            let count = from.read(&mut buffer).unwrap_or(0);
            if sender.send((Instant::now() + delay, buffer[..count].to_vec())).is_err() || count == 0 {
                return;
            }
        }
    });
    spawn(move || {
        for (due, bytes) in receiver {
            sleep(due.saturating_duration_since(Instant::now()));
            if bytes.is_empty() || to.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    });
}
