//! Lets a test hold back the replies of endpoints until it releases them.

use super::wait::TEST_TIMEOUT;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

/// Blocks the scripts of endpoints until the test releases their replies.
#[derive(Clone)]
pub(crate) struct ReplyGate(Arc<Mutex<Receiver<()>>>);

/// Releases replies that wait at a [`ReplyGate`].
pub(crate) struct ReplyReleaser(Sender<()>);

/// Creates a gate and its releaser.
pub(crate) fn reply_gate() -> (ReplyReleaser, ReplyGate) {
    let (sender, receiver) = channel();
    (
        ReplyReleaser(sender),
        ReplyGate(Arc::new(Mutex::new(receiver))),
    )
}

impl ReplyGate {
    /// Waits until the test releases a reply, at most [`TEST_TIMEOUT`].
    pub(crate) fn wait(&self) {
        let receiver = self.0.lock().expect("gate should not be poisoned");
        let _ = receiver.recv_timeout(TEST_TIMEOUT);
    }
}

impl ReplyReleaser {
    /// Releases one reply that waits at the gate, or the next one to arrive there.
    pub(crate) fn release_one(&self) {
        self.0.send(()).expect("an endpoint should hold the gate");
    }
}
