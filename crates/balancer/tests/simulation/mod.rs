//! Simulations in virtual time: one node with everything around it, and fleets of nodes before the
//! same endpoints.
#![allow(dead_code)] // each test program uses a part of it

pub mod fixtures;
pub mod fleet;
pub mod node;
