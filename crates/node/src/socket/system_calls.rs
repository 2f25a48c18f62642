//! The connects, reads, peeks and writes on the streams of clients, endpoints and discovery. Tests
//! make them fail here, since the kernel cannot be made to interrupt or shorten a call at will.

use socket2::SockRef;
use std::io::{self, ErrorKind, IoSlice};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Connects to an address, again if the call is interrupted.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    loop {
        match TcpStream::connect(address).await {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Reads what has arrived, into the buffer, and returns the number of bytes.
pub(super) fn read(stream: &TcpStream, buffer: &mut [u8]) -> io::Result<usize> {
    #[cfg(test)]
    let buffer = super::fault_injection::shorten(buffer);
    call(|| stream.try_read(buffer))
}

/// Looks for a byte that can be read, and leaves it there. Fails with `WouldBlock` if there is
/// none.
pub(super) fn peek(stream: &TcpStream) -> io::Result<usize> {
    call(|| SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]))
}

/// Writes as much as there is room for, and returns the number of bytes.
pub(super) fn write(stream: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
    call(|| stream.try_write(bytes))
}

/// Writes as much of several slices as there is room for, and returns the number of bytes.
pub(super) fn write_vectored(stream: &TcpStream, slices: &[IoSlice<'_>]) -> io::Result<usize> {
    call(|| stream.try_write_vectored(slices))
}

/// Makes a call, again if it is interrupted: that says nothing of the connection.
fn call<T>(mut make: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    #[cfg(test)]
    let mut make = || super::fault_injection::inject().map_or_else(&mut make, Err);
    loop {
        match make() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}
