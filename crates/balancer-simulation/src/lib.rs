//! Simulations in virtual time for the balancer's tests: a single node with its environment, and
//! fleets of nodes that share their endpoints.

pub mod actions;
pub mod fixtures;
pub mod fleet;
pub mod node;
mod virtual_time;
