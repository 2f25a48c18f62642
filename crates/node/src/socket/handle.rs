//! A handle that inspects a stream while hyper reads and writes it: when bytes arrived, and whether
//! the peer has closed its side.

use crate::socket::shared::{MAX_READ_BYTES, SharedSocket};
use crate::socket::system_calls::{self, Unread};
use std::io::ErrorKind;
use std::pin::pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::Interest;
use tokio::time::{Instant, sleep};

/// How often the node checks for the disconnect of a peer while it does not read ahead. The
/// disconnect must be noticed well within 0.1 s.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How many reads may be made ahead before a pause. With [`READ_PAUSE`], what the kernels on both
/// sides hold of a client that closes, some megabytes, is read within 0.1 s.
const READS_PER_PAUSE: usize = 16;
/// How long reading ahead pauses, so that a client that sends without end does not take the time of
/// others.
const READ_PAUSE: Duration = Duration::from_millis(1);

/// Inspects the stream of a [`Socket`](crate::socket::Socket) without keeping it open.
#[derive(Clone)]
pub(crate) struct SocketHandle(Weak<SharedSocket>);

/// Why reading ahead ended.
#[derive(PartialEq, Eq)]
enum ReadAheadEnd {
    /// The peer has closed its side, or the stream has failed.
    PeerClosed,
    /// The read-ahead buffer is full of bytes that hyper still needs, or nothing has to be read
    /// ahead.
    Stopped,
}

impl SocketHandle {
    /// Returns a handle for a socket.
    pub(super) fn new(shared: &Rc<SharedSocket>) -> Self {
        SocketHandle(Rc::downgrade(shared))
    }

    /// Returns when the first bytes of the current request arrived. For bytes that were read ahead,
    /// this is when they were passed to hyper.
    pub(crate) fn first_byte_at(&self) -> Option<Instant> {
        self.0.upgrade()?.first_byte_at.get()
    }

    /// Ends the current request, and lets hyper read the next one.
    pub(crate) fn allow_next_request(&self) {
        self.end_request();
        if let Some(shared) = self.0.upgrade() {
            shared.open_gate();
        }
    }

    /// Ends the current request: the next bytes count as the first of another.
    pub(crate) fn end_request(&self) {
        if let Some(shared) = self.0.upgrade() {
            shared.first_byte_at.set(None);
        }
    }

    /// Returns whether the request that hyper has read last is the placeholder of one that was
    /// discarded.
    pub(crate) fn has_passed_placeholder(&self) -> bool {
        self.0
            .upgrade()
            .is_some_and(|shared| shared.gate.borrow().has_passed_placeholder())
    }

    /// Returns when bytes last arrived.
    pub(crate) fn last_byte_at(&self) -> Option<Instant> {
        self.0.upgrade()?.last_byte_at.get()
    }

    /// Returns whether the stream has accepted every byte that hyper wants to write.
    pub(crate) fn is_flushed(&self) -> bool {
        self.0
            .upgrade()
            .is_none_or(|shared| shared.is_flushed.get())
    }

    /// Writes bytes past hyper, as many as the stream accepts now. The caller must end the
    /// connection, and must have checked [`Self::is_flushed`].
    pub(crate) fn write_past_hyper(&self, bytes: &[u8]) {
        if let Some(shared) = self.0.upgrade() {
            // An error means that the peer is gone.
            let _ = system_calls::write(&shared.stream, bytes);
        }
    }

    /// Returns whether the stream is open and has nothing to read.
    ///
    /// The kernel is asked, because the runtime's readiness may be one iteration of its event loop
    /// out of date.
    pub(crate) fn has_nothing_to_read(&self) -> bool {
        let Some(shared) = self.0.upgrade() else {
            return false;
        };
        if !shared.read_ahead.is_empty() || shared.gate.borrow().has_placeholder() {
            return false;
        }
        system_calls::unread(&shared.stream) == Unread::Nothing
    }

    /// Returns whether bytes have arrived that have not been passed to hyper. The kernel is asked.
    pub(crate) fn has_bytes_to_read(&self) -> bool {
        self.0.upgrade().is_some_and(|shared| {
            !shared.read_ahead.is_empty() || system_calls::unread(&shared.stream) == Unread::Bytes
        })
    }

    /// Returns whether anything has arrived behind the request that hyper has read last: bytes, or
    /// the end of the stream.
    pub(crate) fn has_more_behind_request(&self) -> bool {
        let is_discarding = self
            .0
            .upgrade()
            .is_some_and(|shared| shared.gate.borrow().is_discarding());
        is_discarding || !self.has_nothing_to_read()
    }

    /// Waits until the peer has closed its side.
    ///
    /// While hyper serves a request and further bytes wait in the stream, it does not notice that
    /// the peer has closed. This method therefore reads those bytes ahead. If a client sends more
    /// than the read-ahead buffer holds behind a request, all of it is discarded, and hyper gets a
    /// placeholder of each discarded request. The caller must poll hyper first, so that hyper gets
    /// the bytes that it asks for.
    pub(crate) async fn peer_closed(&self) {
        let Some(shared) = self.0.upgrade() else {
            return;
        };
        while read_ahead(&shared).await == ReadAheadEnd::Stopped {
            // The runtime learns that the peer has closed, but wakes no task for that.
            sleep(PEER_CHECK_INTERVAL).await;
            if self.is_peer_closed() {
                break;
            }
        }
        shared.set_ended();
    }

    /// Returns whether the runtime knows that the peer has closed its side, even if bytes are still
    /// to be read before the end of the stream.
    pub(crate) fn is_peer_closed(&self) -> bool {
        let Some(shared) = self.0.upgrade() else {
            return true;
        };
        let ready = pin!(shared.stream.ready(Interest::READABLE));
        let polled = ready.poll(&mut Context::from_waker(Waker::noop()));
        matches!(polled, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }
}

/// Reads ahead until the peer has closed its side or reading ahead has to stop.
async fn read_ahead(shared: &SharedSocket) -> ReadAheadEnd {
    let mut reads = 0;
    while shared.stream.readable().await.is_ok() {
        if let Some(end) = read_ahead_once(shared) {
            return end;
        }
        reads += 1;
        if reads % READS_PER_PAUSE == 0 {
            sleep(READ_PAUSE).await;
        }
    }
    ReadAheadEnd::PeerClosed
}

/// Reads ahead as many bytes as one read returns, if any have arrived. Returns why reading ahead
/// ends, if it does.
fn read_ahead_once(shared: &SharedSocket) -> Option<ReadAheadEnd> {
    if shared.read_ahead.remaining_capacity() == 0 {
        if !shared.gate.borrow().is_closed() {
            return Some(ReadAheadEnd::Stopped);
        }
        shared.discard(&shared.read_ahead.take());
    }
    let is_discarding = shared.gate.borrow().is_discarding();
    if is_discarding && !shared.gate.borrow().needs_discarding() {
        return Some(ReadAheadEnd::Stopped);
    }
    let max_count = if is_discarding {
        MAX_READ_BYTES
    } else {
        shared.read_ahead.remaining_capacity()
    };
    let mut chunk = [0; MAX_READ_BYTES];
    match shared.read(&mut chunk[..max_count]) {
        Ok(0) => return Some(ReadAheadEnd::PeerClosed),
        Ok(count) if is_discarding => shared.discard(&chunk[..count]),
        Ok(count) => shared.read_ahead.push(&chunk[..count]),
        Err(error) if error.kind() == ErrorKind::WouldBlock => {}
        Err(_) => return Some(ReadAheadEnd::PeerClosed),
    }
    None
}
