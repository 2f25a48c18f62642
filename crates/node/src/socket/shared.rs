//! What a stream and its handles share.

use crate::socket::read_ahead::ReadAhead;
use crate::socket::system_calls;
use std::cell::Cell;
use std::io;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The most bytes that one read takes in.
pub const MAX_READ_BYTES: usize = 8 * 1024;

/// A stream, and what has been observed of it.
pub struct Shared {
    /// The stream itself.
    pub stream: TcpStream,
    /// When the first bytes arrived since the stream was opened or this was reset.
    pub first_byte_at: Cell<Option<Instant>>,
    /// What a handle has read and hyper has not asked for yet.
    pub read_ahead: ReadAhead,
}

impl Shared {
    /// Returns the shared part of a stream of which nothing has been read.
    pub fn new(stream: TcpStream) -> Self {
        Shared {
            stream,
            first_byte_at: Cell::default(),
            read_ahead: ReadAhead::default(),
        }
    }

    /// Reads what has arrived, into the buffer, and records the arrival.
    pub fn read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = system_calls::read(&self.stream, buffer)?;
        if count > 0 && self.first_byte_at.get().is_none() {
            self.first_byte_at.set(Some(Instant::now()));
        }
        Ok(count)
    }
}
