//! The connect, read, peek and write calls on the TCP streams of clients, endpoints and discovery.
//!
//! A call that is interrupted (`EINTR`) is repeated. Tests inject faults here, because they cannot
//! make the kernel interrupt or shorten a call.

use socket2::SockRef;
use std::io::{self, ErrorKind, IoSlice};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// Connects to an address.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    loop {
        match TcpStream::connect(address).await {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Reads the bytes that have arrived into the buffer, and returns their number.
pub(super) fn read(stream: &TcpStream, buffer: &mut [u8]) -> io::Result<usize> {
    #[cfg(test)]
    let buffer = super::fault_injection::shorten(buffer);
    retry_if_interrupted(|| stream.try_read(buffer))
}

/// Checks for a byte to read without consuming it. Fails with `WouldBlock` if there is none.
fn peek(stream: &TcpStream) -> io::Result<usize> {
    retry_if_interrupted(|| SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]))
}

/// What a stream has to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unread {
    /// Nothing yet.
    Nothing,
    /// Bytes.
    Bytes,
    /// Its end, or an error.
    End,
}

impl Unread {
    fn from_peek(peeked: io::Result<usize>) -> Self {
        match peeked {
            Ok(0) => Unread::End,
            Ok(_) => Unread::Bytes,
            Err(error) if error.kind() == ErrorKind::WouldBlock => Unread::Nothing,
            Err(_) => Unread::End,
        }
    }
}

/// Returns what the stream has to read, by asking the kernel.
pub(crate) fn unread(stream: &TcpStream) -> Unread {
    Unread::from_peek(peek(stream))
}

/// Returns what the stream has to read, as far as the runtime's events show. Makes a system call
/// only after such an event.
pub(crate) fn unread_after_event(stream: &TcpStream) -> Unread {
    Unread::from_peek(stream.try_io(Interest::READABLE, || peek(stream)))
}

/// Writes as many bytes as the stream accepts now, and returns their number.
pub(super) fn write(stream: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
    retry_if_interrupted(|| stream.try_write(bytes))
}

/// Writes as many bytes of several slices as the stream accepts now, and returns their number.
pub(super) fn write_vectored(stream: &TcpStream, slices: &[IoSlice<'_>]) -> io::Result<usize> {
    retry_if_interrupted(|| stream.try_write_vectored(slices))
}

/// Makes a system call, and repeats it while it is interrupted: `EINTR` does not mean that the
/// connection has failed.
fn retry_if_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    #[cfg(test)]
    let mut call = || super::fault_injection::inject().map_or_else(&mut call, Err);
    loop {
        match call() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}
