//! Entries of the endpoint list, and the load reports of endpoints.

use std::time::Duration;

/// Identifies an endpoint in the endpoint list. The number is opaque.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u64);

/// The state of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// The endpoint accepts requests.
    Ready,
    /// The endpoint finishes its requests in flight and accepts no new ones.
    Draining,
    /// The endpoint has been removed from the list.
    #[default]
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointEntry {
    /// The id of the endpoint.
    pub id: EndpointId,
    /// The number of its zone.
    pub zone: u8,
    /// The number of its machine type.
    pub machine_type: u8,
    /// The number of its cell. A cell is a part of a zone.
    pub cell: u16,
    /// Its state.
    pub state: EndpointState,
    /// Its capacity relative to that of other endpoints.
    /// No decision uses it.
    pub weight: f32,
    /// When it last started, on the clock by which the host times events; `None` if that was long
    /// ago.
    pub started: Option<Duration>,
}

/// What the entries of an endpoint list event represent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The entries that have changed.
    Delta,
    /// The complete list.
    Snapshot,
    /// The complete list as it was cached before this node restarted. It may be out of date.
    Cached,
    /// No entries: a call to discovery failed, or the subscription ended.
    Failed,
}

/// The load that an endpoint reports about itself. Reports are delayed and noisy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The number of requests in flight at the endpoint.
    pub in_flight: Option<f32>,
    /// The number of requests that wait in its queue.
    pub queue_length: Option<f32>,
    /// Its CPU utilisation, from 0 to 1.
    pub utilisation: Option<f32>,
    /// Its recent mean service time, in milliseconds.
    pub latency_ms: Option<f32>,
    /// The number of responses that it sends per second.
    pub throughput: Option<f32>,
    /// The number of errors that it returns per second.
    pub errors_per_s: Option<f32>,
}
