//! Replies that endpoints hold back until the test releases them.

use super::TEST_TIMEOUT;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

/// The endpoints' side, which scripts wait at.
#[derive(Clone)]
pub struct Gate(Arc<Mutex<Receiver<()>>>);

/// The test's side.
pub struct GateKeeper(Sender<()>);

pub fn gate() -> (GateKeeper, Gate) {
    let (sender, receiver) = channel();
    (GateKeeper(sender), Gate(Arc::new(Mutex::new(receiver))))
}

impl Gate {
    pub fn wait(&self) {
        let _ = self.0.lock().expect("the gate").recv_timeout(TEST_TIMEOUT);
    }
}

impl GateKeeper {
    /// Releases one reply, of whichever script waits first.
    pub fn release_one(&self) {
        self.0.send(()).expect("an endpoint holds the gate");
    }
}
