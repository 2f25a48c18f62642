//! End-to-end tests. Each starts the node as a process and connects it over loopback to scripted
//! clients, endpoints and a discovery service.

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
