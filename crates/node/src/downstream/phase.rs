//! How far the downstream side has come on its way from serving to shutdown.

/// A phase. Each one follows the one before it, and none comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Requests are served, and connections are kept.
    Serving,
    /// The node is unready: requests are still served, but each connection closes with its next
    /// response.
    Draining,
    /// There is no time left to serve further requests: they are shed.
    Shedding,
}

impl Phase {
    /// Whether the shutdown has begun.
    pub fn is_draining(self) -> bool {
        self >= Phase::Draining
    }

    /// Whether requests are shed without being admitted.
    pub fn sheds_requests(self) -> bool {
        self >= Phase::Shedding
    }
}
