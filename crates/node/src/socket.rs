//! A TCP stream for hyper, and a handle by which the owner of the connection can still inspect it.

#[cfg(test)]
pub mod fault_injection;
mod system_calls;

pub use system_calls::connect;

use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind};
use std::pin::{Pin, pin};
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

/// How often a peer is checked that has sent more than is read ahead: one that has disconnected is
/// to be known to have done so well within 0.1 s.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The most bytes that one read takes in, and that are read ahead.
const MAX_READ_BYTES: usize = 8 * 1024;

/// The stream, for hyper.
pub struct Socket(Rc<Shared>);

/// Inspects the stream, but does not keep it open.
#[derive(Clone)]
pub struct Handle(Weak<Shared>);

struct Shared {
    stream: TcpStream,
    /// When the first bytes arrived since `Handle::reset_first_byte`.
    first_byte_at: Cell<Option<Instant>>,
    /// What `Handle::peer_closed` has read and hyper has not asked for yet; `MAX_READ_BYTES` at
    /// most.
    read_ahead: RefCell<Vec<u8>>,
}

/// Why reading ahead has ended.
#[derive(PartialEq, Eq)]
enum ReadAheadEnd {
    PeerClosed,
    /// The buffer is full, or the runtime shuts down.
    Stopped,
}

impl Shared {
    fn note_arrival(&self) {
        if self.first_byte_at.get().is_none() {
            self.first_byte_at.set(Some(Instant::now()));
        }
    }

    /// Reads ahead until the peer has closed its side, as far as there is room.
    async fn fill_read_ahead(&self) -> ReadAheadEnd {
        while self.stream.readable().await.is_ok() {
            let mut read_ahead = self.read_ahead.borrow_mut();
            let room = MAX_READ_BYTES - read_ahead.len();
            if room == 0 {
                return ReadAheadEnd::Stopped;
            }
            let mut chunk = [0; MAX_READ_BYTES];
            match system_calls::read(&self.stream, &mut chunk[..room]) {
                Ok(0) => return ReadAheadEnd::PeerClosed,
                Ok(count) => {
                    self.note_arrival();
                    read_ahead.extend_from_slice(&chunk[..count]);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return ReadAheadEnd::PeerClosed,
            }
        }
        ReadAheadEnd::Stopped
    }

    /// Hands out what was read ahead; false if that is nothing.
    fn take_read_ahead(&self, buffer: &mut ReadBufCursor<'_>) -> bool {
        let mut read_ahead = self.read_ahead.borrow_mut();
        let count = buffer.remaining().min(read_ahead.len());
        if read_ahead.is_empty() {
            return false;
        }
        buffer.put_slice(&read_ahead[..count]);
        read_ahead.drain(..count);
        true
    }
}

impl Socket {
    /// The stream and its handle.
    pub fn new(stream: TcpStream) -> (Self, Handle) {
        let _ = stream.set_nodelay(true); // without it the stream is only slower
        let shared = Rc::new(Shared {
            stream,
            first_byte_at: Cell::default(),
            read_ahead: RefCell::default(),
        });
        let handle = Handle(Rc::downgrade(&shared));
        (Socket(shared), handle)
    }

    fn poll_try_write(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.stream.poll_write_ready(cx))?;
            match write(&self.0.stream) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }
}

impl Handle {
    /// When the first bytes arrived since the stream was opened or [`Handle::reset_first_byte`] was
    /// called.
    pub fn first_byte_at(&self) -> Option<Instant> {
        self.0.upgrade()?.first_byte_at.get()
    }

    /// Forgets when the first bytes arrived: the next ones are the first.
    pub fn reset_first_byte(&self) {
        if let Some(shared) = self.0.upgrade() {
            shared.first_byte_at.set(None);
        }
    }

    /// Whether it is open and has nothing to read. Asks the kernel: what the runtime knows may be
    /// one turn of the loop old.
    pub fn has_nothing_to_read(&self) -> bool {
        let Some(shared) = self.0.upgrade() else {
            return false;
        };
        if !shared.read_ahead.borrow().is_empty() {
            return false;
        }
        let peeked = system_calls::peek(&shared.stream);
        peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    /// Ends once the peer has closed its side. Hyper does not check for that while bytes wait
    /// behind the request it serves, so these are read ahead, as far as there is room for them. To
    /// be polled after hyper, which has to get first what it wants.
    pub async fn peer_closed(&self) {
        let Some(shared) = self.0.upgrade() else {
            return;
        };
        if shared.fill_read_ahead().await == ReadAheadEnd::PeerClosed {
            return;
        }
        // No more can be read ahead: only the runtime's readiness is left, which wakes nobody.
        while !self.is_peer_closed() {
            sleep(PEER_CHECK_INTERVAL).await;
        }
    }

    /// Whether the peer is known to have closed its side, whatever waits to be read before that.
    pub fn is_peer_closed(&self) -> bool {
        let Some(shared) = self.0.upgrade() else {
            return true;
        };
        let ready = pin!(shared.stream.ready(Interest::READABLE));
        let polled = ready.poll(&mut Context::from_waker(Waker::noop()));
        matches!(polled, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }
}

impl Read for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.0.take_read_ahead(&mut buffer) {
            return Poll::Ready(Ok(()));
        }
        let max_count = buffer.remaining().min(MAX_READ_BYTES);
        let mut chunk = [0; MAX_READ_BYTES];
        loop {
            ready!(self.0.stream.poll_read_ready(cx))?;
            match system_calls::read(&self.0.stream, &mut chunk[..max_count]) {
                Ok(count) => {
                    if count > 0 {
                        self.0.note_arrival();
                    }
                    buffer.put_slice(&chunk[..count]);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl Write for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_try_write(cx, |stream| system_calls::write(stream, bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_try_write(cx, |stream| system_calls::write_vectored(stream, slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(std::net::Shutdown::Write))
    }
}

#[cfg(test)]
mod tests;
