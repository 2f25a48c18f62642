//! The stream as hyper reads and writes it.

use crate::socket::handle::Handle;
use crate::socket::shared::{MAX_READ_BYTES, Shared};
use crate::socket::system_calls;
use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::SockRef;
use std::io::{self, ErrorKind};
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::net::TcpStream;

/// A TCP stream for hyper. It closes when it is dropped.
pub struct Socket(Rc<Shared>);

impl Socket {
    /// Returns the stream and its handle.
    pub fn new(stream: TcpStream) -> (Self, Handle) {
        let _ = stream.set_nodelay(true); // without it the stream is only slower
        let shared = Rc::new(Shared::new(stream));
        let handle = Handle::new(&shared);
        (Socket(shared), handle)
    }

    /// Writes once the stream is writable.
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

impl Read for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.0.read_ahead.take(&mut buffer) {
            return Poll::Ready(Ok(()));
        }
        let max_count = buffer.remaining().min(MAX_READ_BYTES);
        let mut chunk = [0; MAX_READ_BYTES];
        loop {
            ready!(self.0.stream.poll_read_ready(cx))?;
            match self.0.read(&mut chunk[..max_count]) {
                Ok(count) => {
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
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(Shutdown::Write))
    }
}
