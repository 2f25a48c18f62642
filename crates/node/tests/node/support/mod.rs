//! A node under test and scripted peers around it: endpoints, a discovery service and clients. They
//! wait for events; [`wait::TEST_TIMEOUT`] only ends a test that has gone wrong.

pub mod client;
pub mod config;
pub mod discovery;
pub mod endpoint;
pub mod gate;
pub mod message;
pub mod process;
pub mod refusing_address;
pub mod settings;
pub mod setup;
pub mod wait;
