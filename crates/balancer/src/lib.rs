//! The decisions of a load-balancing node.
//!
//! A [`Balancer`] is given the [`Event`]s of one node and returns [`Action`]s: which endpoint each
//! request goes to, when it is retried, hedged, shed or failed. Its ordinary path is Join-Up-To(m).
//! The crate is sans-I/O: it reads no clock, opens no socket and shares nothing with other nodes;
//! the same events always give the same actions.

mod action;
mod admission;
mod backoff;
mod balancer;
mod endpoint;
mod endpoint_polling;
mod endpoints;
mod estimates;
mod event;
mod health;
mod numeric;
mod priority;
mod request;
mod requests;
mod retry;
mod routing;
pub mod settings;
mod timer;

pub use action::Action;
pub use backoff::Backoff;
pub use balancer::{Balancer, TableSizes};
pub use endpoint::{EndpointEntry, EndpointId, EndpointState, ListKind, LoadReport};
pub use event::{Event, HealthCheckEnd};
pub use numeric::Random;
pub use request::{AttemptEnd, NewRequest, Outcome, RequestId};
pub use settings::{
    CostWeights, Idempotency, IdempotencyScope, Limits, LoadReportSource, ObjectiveWeights,
    RequestClass, Rules, Settings, SettingsError, Tenant,
};
pub use timer::Timer;

/// The README's example, compiled as a test.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;
