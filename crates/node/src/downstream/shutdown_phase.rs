//! The phases of the graceful shutdown.

/// A phase of the shutdown. Each phase follows the one before it, and none comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// Requests are served, and connections are kept.
    Serving,
    /// The node is not ready: requests are still served, but each connection closes with its next
    /// response.
    Draining,
    /// There is no time left to serve further requests: they are shed.
    Shedding,
}

impl ShutdownPhase {
    /// Returns whether the shutdown has begun.
    pub fn is_draining(self) -> bool {
        self >= ShutdownPhase::Draining
    }

    /// Returns whether requests are shed without being admitted.
    pub fn sheds_requests(self) -> bool {
        self >= ShutdownPhase::Shedding
    }
}
