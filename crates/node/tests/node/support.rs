//! The node under test and its scripted peers: clients, endpoints and a discovery service.
//!
//! Tests wait for events rather than for fixed times. A test that waits for longer than
//! [`wait::TEST_TIMEOUT`] fails.

pub(crate) mod client;
pub(crate) mod config;
pub(crate) mod discovery;
pub(crate) mod endpoint;
pub(crate) mod gate;
pub(crate) mod message;
pub(crate) mod process;
pub(crate) mod refusing_address;
pub(crate) mod settings;
pub(crate) mod setup;
pub(crate) mod wait;
