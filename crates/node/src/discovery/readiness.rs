//! Whether the node knows enough endpoints to serve.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// How long after its start a node with a cached list becomes ready, though discovery has sent no
/// list.
const MAX_WAIT_WITH_CACHED_LIST: Duration = Duration::from_secs(1);

/// A flag that is false at the start, and never false again once it is set.
#[derive(Default)]
pub(super) struct Readiness(Rc<Cell<bool>>);

impl Readiness {
    /// Returns the flag, for the side that accepts clients.
    pub(super) fn flag(&self) -> Rc<Cell<bool>> {
        self.0.clone()
    }

    /// Marks the node as ready.
    pub(super) fn set(&self) {
        self.0.set(true);
    }

    /// Marks the node as ready after [`MAX_WAIT_WITH_CACHED_LIST`].
    ///
    /// The node has endpoints from a cached list, which may be old: the first call may still bring
    /// a newer one before clients come.
    pub(super) fn set_after_max_wait(&self) {
        let flag = self.flag();
        spawn_local(async move {
            sleep(MAX_WAIT_WITH_CACHED_LIST).await;
            flag.set(true);
        });
    }
}
