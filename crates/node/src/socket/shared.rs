//! The state that a socket and its handles share.

use crate::socket::read_ahead::ReadAheadBuffer;
use crate::socket::request_gate::RequestGate;
use crate::socket::system_calls;
use hyper::rt::ReadBufCursor;
use std::cell::{Cell, RefCell};
use std::io;
use std::task::{Context, Poll, Waker};
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
    /// Decides which bytes may pass to hyper.
    pub gate: RefCell<RequestGate>,
    /// The task that reads the stream, if it waits for the gate to open or for a placeholder.
    reader: Cell<Option<Waker>>,
    /// Whether the end of the stream was read ahead.
    has_ended: Cell<bool>,
}

impl SharedSocket {
    /// Returns the state of a stream from which nothing has been read.
    pub(super) fn new(stream: TcpStream, gate: RequestGate) -> Self {
        SharedSocket {
            stream,
            first_byte_at: Cell::default(),
            last_byte_at: Cell::default(),
            is_flushed: Cell::new(true),
            read_ahead: ReadAheadBuffer::default(),
            gate: RefCell::new(gate),
            reader: Cell::default(),
            has_ended: Cell::default(),
        }
    }

    /// Opens the gate for the next request.
    pub(super) fn open_gate(&self) {
        self.gate.borrow_mut().open();
        if self.gate.borrow().is_discarding() {
            // A part of the next request has arrived, but hyper gets no byte of it.
            self.mark_first_byte();
        }
        self.wake_reader();
    }

    /// Wakes the task of the context when there is something to pass to hyper again.
    pub(super) fn set_reader(&self, cx: &Context<'_>) {
        self.reader.set(Some(cx.waker().clone()));
    }

    fn wake_reader(&self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// Discards bytes behind a request that has passed.
    pub(super) fn discard(&self, bytes: &[u8]) {
        self.gate.borrow_mut().discard(bytes);
        let gate = self.gate.borrow();
        if gate.has_placeholder() || gate.is_lost() {
            self.wake_reader();
        }
    }

    /// Records that the peer has closed its side, or that the stream has failed.
    pub(super) fn set_ended(&self) {
        self.has_ended.set(true);
        self.wake_reader();
    }

    /// Passes the placeholder of a discarded request to hyper. If there is none, ends the stream for
    /// hyper if the peer has closed its side or sends no requests, and waits for one otherwise.
    pub(super) fn poll_placeholder(
        &self,
        cx: &Context<'_>,
        buffer: &mut ReadBufCursor<'_>,
    ) -> Poll<()> {
        if let Some(placeholder) = self.gate.borrow_mut().pass_placeholder() {
            let count = placeholder.len().min(buffer.remaining());
            buffer.put_slice(&placeholder[..count]);
            return Poll::Ready(());
        }
        if self.has_ended.get() || self.gate.borrow().is_lost() {
            return Poll::Ready(());
        }
        self.set_reader(cx);
        Poll::Pending
    }

    /// Passes bytes that were read ahead to hyper. Returns false if there are none.
    pub(super) fn pass_read_ahead(&self, buffer: &mut ReadBufCursor<'_>) -> bool {
        if self.read_ahead.is_empty() {
            return false;
        }
        self.read_ahead.drain_with(|bytes| {
            let count = bytes.len().min(buffer.remaining());
            let passed = self.gate.borrow_mut().pass(&bytes[..count]);
            buffer.put_slice(&bytes[..passed]);
            passed
        });
        self.mark_first_byte();
        true
    }

    /// Passes bytes that were just read to hyper. Those that may not pass yet are kept as read ahead.
    pub(super) fn pass(&self, bytes: &[u8], buffer: &mut ReadBufCursor<'_>) {
        let passed = self.gate.borrow_mut().pass(bytes);
        buffer.put_slice(&bytes[..passed]);
        self.read_ahead.push(&bytes[passed..]);
    }

    /// Reads the bytes that have arrived into the buffer, and records when they arrived.
    pub(super) fn read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = system_calls::read(&self.stream, buffer)?;
        if count > 0 {
            self.last_byte_at.set(Some(Instant::now()));
            self.mark_first_byte();
        }
        Ok(count)
    }

    /// Records that bytes of a request have arrived, if none has been recorded.
    fn mark_first_byte(&self) {
        let first_byte_at = self.first_byte_at.get().unwrap_or_else(Instant::now);
        self.first_byte_at.set(Some(first_byte_at));
    }
}
