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
    /// Lets the requests of a client pass to hyper one at a time; `None` for other peers.
    gate: Option<RefCell<RequestGate>>,
    /// The task that reads the stream, if it waits for the gate to open or for a placeholder.
    reader: Cell<Option<Waker>>,
    /// Whether the end of the stream was read ahead.
    has_ended: Cell<bool>,
}

impl SharedSocket {
    /// Returns the state of a stream from which nothing has been read.
    pub(super) fn new(stream: TcpStream, gate: Option<RequestGate>) -> Self {
        SharedSocket {
            stream,
            first_byte_at: Cell::default(),
            last_byte_at: Cell::default(),
            is_flushed: Cell::new(true),
            read_ahead: ReadAheadBuffer::default(),
            gate: gate.map(RefCell::new),
            reader: Cell::default(),
            has_ended: Cell::default(),
        }
    }

    /// Returns whether the gate is closed: the last request that passed has not got its response.
    pub(super) fn is_gate_closed(&self) -> bool {
        self.gate
            .as_ref()
            .is_some_and(|gate| gate.borrow().is_closed())
    }

    /// Opens the gate for the next request.
    pub(super) fn open_gate(&self) {
        let Some(gate) = &self.gate else { return };
        gate.borrow_mut().open();
        if self.is_discarding() {
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

    /// Returns whether what the peer sends is discarded.
    pub(super) fn is_discarding(&self) -> bool {
        self.gate
            .as_ref()
            .is_some_and(|gate| gate.borrow().is_discarding())
    }

    /// Returns whether further bytes have to be discarded.
    pub(super) fn needs_discarding(&self) -> bool {
        self.gate
            .as_ref()
            .is_some_and(|gate| gate.borrow().needs_discarding())
    }

    /// Returns whether the request that passed last is the placeholder of a discarded one.
    pub(super) fn has_passed_placeholder(&self) -> bool {
        self.gate
            .as_ref()
            .is_some_and(|gate| gate.borrow().has_passed_placeholder())
    }

    /// Returns whether a placeholder may pass.
    pub(super) fn has_placeholder(&self) -> bool {
        self.gate
            .as_ref()
            .is_some_and(|gate| gate.borrow().has_placeholder())
    }

    /// Discards bytes behind a request that has passed.
    pub(super) fn discard(&self, bytes: &[u8]) {
        if let Some(gate) = &self.gate {
            gate.borrow_mut().discard(bytes);
        }
        if self.has_placeholder() {
            self.wake_reader();
        }
    }

    /// Records that the peer has closed its side, or that the stream has failed.
    pub(super) fn set_ended(&self) {
        self.has_ended.set(true);
        self.wake_reader();
    }

    /// Passes the placeholder of a discarded request to hyper. Waits for one if there is none and
    /// the peer has not closed its side.
    pub(super) fn poll_placeholder(
        &self,
        cx: &Context<'_>,
        buffer: &mut ReadBufCursor<'_>,
    ) -> Poll<()> {
        let placeholder = self
            .gate
            .as_ref()
            .and_then(|gate| gate.borrow_mut().pass_placeholder());
        if let Some(placeholder) = placeholder {
            let count = placeholder.len().min(buffer.remaining());
            buffer.put_slice(&placeholder[..count]);
            return Poll::Ready(());
        }
        if self.has_ended.get() {
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
            let passed = self.count_passing(&bytes[..count]);
            buffer.put_slice(&bytes[..passed]);
            passed
        });
        self.mark_first_byte();
        true
    }

    /// Passes bytes that were just read to hyper. Those that may not pass yet are kept as read ahead.
    pub(super) fn pass(&self, bytes: &[u8], buffer: &mut ReadBufCursor<'_>) {
        let passed = self.count_passing(bytes);
        buffer.put_slice(&bytes[..passed]);
        self.read_ahead.push(&bytes[passed..]);
    }

    /// Returns how many of the bytes, which are the next of the stream, pass the gate.
    fn count_passing(&self, bytes: &[u8]) -> usize {
        self.gate
            .as_ref()
            .map_or(bytes.len(), |gate| gate.borrow_mut().pass(bytes))
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
