//! The listed endpoints and the state that a node keeps for each. Nothing here decides anything.

mod endpoint;
mod endpoint_set;
mod health;
mod permit;
mod reported_load;
mod ring;
mod send_count;

pub use endpoint::Endpoint;
pub use endpoint_set::EndpointSet;
pub use health::{Health, HealthSignal};
pub use permit::Permit;
pub use reported_load::{ReportedLoad, reported_load};
