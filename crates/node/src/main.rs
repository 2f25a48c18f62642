//! A load-balancing HTTP node. [`downstream`] serves clients, [`upstream`] sends requests to
//! endpoints, and [`discovery`] keeps the endpoint list up to date. [`driver`] connects them: it
//! owns the balancer, which makes the load-balancing decisions.
//!
//! Module dependencies have no cycles. [`startup`] creates all parts from the configuration, which
//! only it and [`reload`] use. [`driver`] starts attempts through [`upstream`]. Otherwise
//! [`downstream`], [`driver`], [`upstream`] and [`discovery`] do not depend on one another, but
//! only on the shared modules: [`message`], [`header_names`], [`limits`], [`socket`],
//! [`memory_budget`], [`stable_hash`], [`clock`] and [`logging`].

mod clock;
mod config;
mod discovery;
mod downstream;
mod driver;
mod header_names;
mod limits;
mod logging;
mod memory_budget;
mod message;
mod reload;
mod signals;
mod socket;
mod stable_hash;
mod startup;
mod upstream;

use ottertiller_error_chain::ErrorChain;
use startup::NodeError;
use std::process::ExitCode;
use tokio::task::LocalSet;

fn main() -> ExitCode {
    let result = run();
    if let Err(error) = &result {
        logging::log(ErrorChain(error));
    }
    logging::flush();
    if result.is_ok() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Runs all parts of the node on this thread, so that they share state without locks.
fn run() -> Result<(), NodeError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(NodeError::Runtime)?;
    LocalSet::new().block_on(&runtime, startup::run())
}
