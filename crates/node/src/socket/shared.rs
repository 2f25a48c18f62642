//! The state that a socket and its handles share.

use crate::socket::read_ahead::ReadAheadBuffer;
use crate::socket::system_calls;
use std::cell::Cell;
use std::io;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The most bytes that a single read returns.
pub(super) const MAX_READ_BYTES: usize = 8 * 1024;

/// A TCP stream, and what has been read and recorded of it.
pub(super) struct SharedSocket {
    /// The stream.
    pub stream: TcpStream,
    /// When the first bytes arrived since the stream was opened or this field was reset.
    pub first_byte_at: Cell<Option<Instant>>,
    /// When bytes last arrived.
    pub last_byte_at: Cell<Option<Instant>>,
    /// Whether the stream has accepted every byte that hyper wants to write.
    pub is_flushed: Cell<bool>,
    /// Bytes that a handle has read and hyper has not asked for yet.
    pub read_ahead: ReadAheadBuffer,
}

impl SharedSocket {
    /// Returns the state of a stream from which nothing has been read.
    pub(super) fn new(stream: TcpStream) -> Self {
        SharedSocket {
            stream,
            first_byte_at: Cell::default(),
            last_byte_at: Cell::default(),
            is_flushed: Cell::new(true),
            read_ahead: ReadAheadBuffer::default(),
        }
    }

    /// Reads the bytes that have arrived into the buffer, and records when they arrived.
    pub(super) fn read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = system_calls::read(&self.stream, buffer)?;
        if count > 0 {
            let now = Some(Instant::now());
            self.last_byte_at.set(now);
            self.first_byte_at.set(self.first_byte_at.get().or(now));
        }
        Ok(count)
    }
}
