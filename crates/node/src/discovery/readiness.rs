//! The readiness of the node: whether it knows enough endpoints to serve requests.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// How long after its start a node with a cached list becomes ready, even if discovery has sent no
/// list.
const MAX_WAIT_WITH_CACHED_LIST: Duration = Duration::from_secs(1);

/// The readiness flag. It is false at the start, and stays true once it is set.
#[derive(Default)]
pub(super) struct Readiness(Rc<Cell<bool>>);

impl Readiness {
    /// Returns the flag, for the downstream side.
    pub(super) fn flag(&self) -> Rc<Cell<bool>> {
        self.0.clone()
    }

    /// Marks the node as ready.
    pub(super) fn set(&self) {
        self.0.set(true);
    }

    /// Marks the node as ready after [`MAX_WAIT_WITH_CACHED_LIST`].
    ///
    /// The cached list may be out of date. The delay gives the first call time to bring a newer
    /// list before clients send requests.
    pub(super) fn set_after_max_wait(&self) {
        let flag = self.flag();
        spawn_local(async move {
            sleep(MAX_WAIT_WITH_CACHED_LIST).await;
            flag.set(true);
        });
    }
}
