//! The socket: a TCP stream with hyper's I/O traits.

use crate::socket::handle::SocketHandle;
use crate::socket::request_gate::RequestGate;
use crate::socket::shared::{MAX_READ_BYTES, SharedSocket};
use crate::socket::system_calls;
use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::SockRef;
use std::io::{self, ErrorKind};
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::net::TcpStream;

/// A TCP stream that hyper reads and writes. The stream closes when the socket is dropped.
pub(crate) struct Socket(Rc<SharedSocket>);

impl Socket {
    /// Returns a socket for the stream, and its handle.
    pub(crate) fn new(stream: TcpStream) -> (Self, SocketHandle) {
        Self::with_gate(stream, RequestGate::always_open())
    }

    /// Returns a socket for the stream of a client, and its handle. Each further request of the
    /// client is read only after [`SocketHandle::allow_next_request`].
    pub(crate) fn for_client(stream: TcpStream) -> (Self, SocketHandle) {
        Self::with_gate(stream, RequestGate::for_client())
    }

    fn with_gate(stream: TcpStream, gate: RequestGate) -> (Self, SocketHandle) {
        let _ = stream.set_nodelay(true); // on failure the stream is slower, but works
        let shared = Rc::new(SharedSocket::new(stream, gate));
        let handle = SocketHandle::new(&shared);
        (Socket(shared), handle)
    }

    /// Calls `write` once the stream is writable, and again while it returns `WouldBlock`.
    fn poll_try_write(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        self.0.is_flushed.set(false);
        loop {
            ready!(self.0.stream.poll_write_ready(cx))?;
            match write(&self.0.stream) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }
}

impl Read for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.0.gate.borrow().is_closed() {
            self.0.set_reader(cx);
            return Poll::Pending;
        }
        if self.0.gate.borrow().is_discarding() {
            return self.0.poll_placeholder(cx, &mut buffer).map(Ok);
        }
        if self.0.pass_read_ahead(&mut buffer) {
            return Poll::Ready(Ok(()));
        }
        let max_count = buffer.remaining().min(MAX_READ_BYTES);
        let mut chunk = [0; MAX_READ_BYTES];
        loop {
            ready!(self.0.stream.poll_read_ready(cx))?;
            match self.0.read(&mut chunk[..max_count]) {
                Ok(count) => {
                    self.0.pass(&chunk[..count], &mut buffer);
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

    /// Hyper calls this after it has written all that it has buffered.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.is_flushed.set(true);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(Shutdown::Write))
    }
}
