//! Inspects a stream while hyper owns it: when bytes arrived, and whether the peer has closed.

use crate::socket::read_ahead::MAX_READ_AHEAD_BYTES;
use crate::socket::shared::Shared;
use crate::socket::system_calls;
use std::io::ErrorKind;
use std::pin::pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::Interest;
use tokio::time::{Instant, sleep};

/// How often a peer is checked that has sent more than is read ahead. Its disconnect must be
/// noticed well within 0.1 s.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Inspects a stream, but does not keep it open.
#[derive(Clone)]
pub(crate) struct Handle(Weak<Shared>);

/// Why reading ahead has ended.
#[derive(PartialEq, Eq)]
enum ReadAheadEnd {
    /// The peer has closed its side, or the stream has failed.
    PeerClosed,
    /// The buffer is full, or the runtime shuts down.
    Stopped,
}

impl Handle {
    /// Returns a handle of a stream.
    pub(super) fn new(shared: &Rc<Shared>) -> Self {
        Handle(Rc::downgrade(shared))
    }

    /// Returns when the first bytes arrived since the stream was opened or
    /// [`Handle::reset_first_byte`] was called.
    pub(crate) fn first_byte_at(&self) -> Option<Instant> {
        self.0.upgrade()?.first_byte_at.get()
    }

    /// Forgets when the first bytes arrived: the next ones are the first.
    pub(crate) fn reset_first_byte(&self) {
        if let Some(shared) = self.0.upgrade() {
            shared.first_byte_at.set(None);
        }
    }

    /// Returns whether the stream is open and has nothing to read. Asks the kernel: what the
    /// runtime knows may be one turn of the loop old.
    pub(crate) fn has_nothing_to_read(&self) -> bool {
        let Some(shared) = self.0.upgrade() else {
            return false;
        };
        if !shared.read_ahead.is_empty() {
            return false;
        }
        let peeked = system_calls::peek(&shared.stream);
        peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    /// Waits until the peer has closed its side.
    ///
    /// Hyper does not check for that while bytes wait behind the request it serves, so these are
    /// read ahead, as far as there is room for them. To be polled after hyper, which has to get
    /// first what it wants.
    pub(crate) async fn peer_closed(&self) {
        let Some(shared) = self.0.upgrade() else {
            return;
        };
        if fill_read_ahead(&shared).await == ReadAheadEnd::PeerClosed {
            return;
        }
        // The buffer is full, so that the end of the stream cannot be read. The runtime still
        // learns that the peer has closed, but wakes no task for it: it has to be checked at
        // intervals.
        while !self.is_peer_closed() {
            sleep(PEER_CHECK_INTERVAL).await;
        }
    }

    /// Returns whether the peer is known to have closed its side, whatever waits to be read before
    /// that.
    pub(crate) fn is_peer_closed(&self) -> bool {
        let Some(shared) = self.0.upgrade() else {
            return true;
        };
        let ready = pin!(shared.stream.ready(Interest::READABLE));
        let polled = ready.poll(&mut Context::from_waker(Waker::noop()));
        matches!(polled, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }
}

/// Reads ahead until the peer has closed its side, as far as there is room.
async fn fill_read_ahead(shared: &Shared) -> ReadAheadEnd {
    while shared.stream.readable().await.is_ok() {
        let room = shared.read_ahead.room();
        if room == 0 {
            return ReadAheadEnd::Stopped;
        }
        let mut chunk = [0; MAX_READ_AHEAD_BYTES];
        match shared.read(&mut chunk[..room]) {
            Ok(0) => return ReadAheadEnd::PeerClosed,
            Ok(count) => shared.read_ahead.push(&chunk[..count]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return ReadAheadEnd::PeerClosed,
        }
    }
    ReadAheadEnd::Stopped
}
