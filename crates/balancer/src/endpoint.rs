//! Endpoints as service discovery lists them, and the load they report.

use std::time::Duration;

/// The identity of an endpoint in the endpoint list. The number carries no meaning.
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
    /// The id of the endpoint.
    pub id: EndpointId,
    /// The number of the zone that it is in.
    pub zone: u8,
    /// The number of its machine type.
    pub machine_type: u8,
    /// The number of its cell, a part of its zone.
    pub cell: u16,
    /// Whether it accepts requests.
    pub state: EndpointState,
    /// Its capacity, in proportion to the weights of other endpoints.
    /// No decision uses it.
    pub weight: f32,
    /// When it last started, on the clock of the host's events; `None` if long ago.
    pub started: Option<Duration>,
}

/// How the entries of an endpoint list event relate to the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// They are the changed ones.
    Delta,
    /// They are the whole list.
    Snapshot,
    /// They are the whole list as it was cached before this node restarted, and may be out of date.
    Cached,
    /// There are none: a call to discovery failed, or the subscription ended.
    Failed,
}

/// An endpoint's own report of its load. Reports lag and are noisy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The requests in flight at the endpoint.
    pub in_flight: Option<f32>,
    /// The requests that wait in its queue.
    pub queue_length: Option<f32>,
    /// The fraction of its processors in use, from 0 to 1.
    pub utilisation: Option<f32>,
    /// Its recent mean service time, in milliseconds.
    pub latency_ms: Option<f32>,
    /// Its responses per second.
    pub throughput: Option<f32>,
    /// Its errors per second.
    pub errors_per_s: Option<f32>,
}
