//! The node as a process on loopback sockets, between scripted clients, endpoints and a discovery
//! service.

mod bad_input;
mod client_disconnect;
mod connections;
mod discovery;
mod endpoint_choice;
mod forwarding;
mod limits;
mod logging;
mod reload;
mod shutdown;
mod slow_clients;
mod soak;
mod support;
