//! Gates at which endpoints wait until the test releases their replies.

use super::wait::TEST_TIMEOUT;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

/// The endpoints' side, at which scripts wait.
#[derive(Clone)]
pub struct Gate(Arc<Mutex<Receiver<()>>>);

/// The test's side, which releases replies.
pub struct GateKeeper(Sender<()>);

/// Returns both sides of a new gate.
pub fn gate() -> (GateKeeper, Gate) {
    let (sender, receiver) = channel();
    (GateKeeper(sender), Gate(Arc::new(Mutex::new(receiver))))
}

impl Gate {
    /// Waits until the test releases a reply.
    pub fn wait(&self) {
        let _ = self.0.lock().expect("the gate").recv_timeout(TEST_TIMEOUT);
    }
}

impl GateKeeper {
    /// Releases the reply of one script that waits.
    pub fn release_one(&self) {
        self.0.send(()).expect("an endpoint has the gate");
    }
}
