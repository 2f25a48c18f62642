//! The phases of the graceful shutdown.

/// A phase of the graceful shutdown. The phases follow each other in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ShutdownPhase {
    /// Requests are served, and connections are kept.
    Serving,
    /// The node reports that it is not ready. Requests are still served, but each connection closes
    /// after its next response.
    Draining,
    /// Further requests are shed, since there is no time left to serve them.
    Shedding,
}

impl ShutdownPhase {
    /// Returns whether the shutdown has begun.
    pub(super) fn is_draining(self) -> bool {
        self >= ShutdownPhase::Draining
    }

    /// Returns whether requests are shed instead of being admitted.
    pub(super) fn sheds_requests(self) -> bool {
        self >= ShutdownPhase::Shedding
    }
}
