//! Endpoints as service discovery lists them, and the load they report.

use std::time::Duration;

/// Names an endpoint in the endpoint list. The number carries no meaning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u64);

/// An endpoint's state in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It accepts requests.
    Ready,
    /// It finishes its requests and accepts no new ones.
    Draining,
    /// It has been removed.
    #[default]
    Removed,
}

/// One endpoint of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointEntry {
    /// Its identity.
    pub id: EndpointId,
    /// The zone it is in.
    pub zone: u8,
    /// Its machine type.
    pub machine_type: u8,
    /// Its cell.
    pub cell: u16,
    /// Its state.
    pub state: EndpointState,
    /// Its capacity relative to the weights of other endpoints.
    pub weight: f32,
    /// When it last started; `None` if long ago.
    pub started: Option<Duration>,
}

/// What an endpoint list event carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Delta,
    /// The whole list.
    Snapshot,
    /// The whole list as it was cached before this node restarted; may be out of date.
    Cached,
    /// A call to discovery failed, or the subscription broke. No entries.
    Failed,
}

/// An endpoint's own report of its load. Reports lag and are noisy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight at it.
    pub in_flight: Option<f32>,
    /// Requests waiting in its queue.
    pub queue: Option<f32>,
    /// The fraction of its processors in use.
    pub utilisation: Option<f32>,
    /// Its recent service time in milliseconds.
    pub latency_ms: Option<f32>,
    /// Responses per second.
    pub throughput: Option<f32>,
    /// Errors per second.
    pub errors: Option<f32>,
}
