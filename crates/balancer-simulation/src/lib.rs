//! Simulations in virtual time for the tests of the balancer: one node with everything around it,
//! and fleets of nodes before the same endpoints.

pub mod actions;
pub mod fixtures;
pub mod fleet;
pub mod node;
mod virtual_time;
