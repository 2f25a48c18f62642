//! The listed endpoints and the state that a node keeps for each. These types hold state and leave
//! decisions to their callers.

mod endpoint;
mod endpoint_set;
mod health;
mod permit;
mod reported_load;
mod ring;
mod send_count;

pub(crate) use endpoint::Endpoint;
pub(crate) use endpoint_set::EndpointSet;
pub(crate) use health::{Health, HealthSignal};
pub(crate) use permit::Permit;
pub(crate) use reported_load::{ReportedLoad, reported_load};
