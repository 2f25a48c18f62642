//! A node under test and scripted peers around it: endpoints, a discovery service and clients. They
//! wait for events; [`wait::TEST_TIMEOUT`] only ends a test that has gone wrong.

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
