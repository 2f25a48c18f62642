//! Reloading of the configuration at SIGHUP. The address of discovery is all that can change in a
//! running node.

use crate::config::Config;
use crate::error_chain::ErrorChain;
use crate::logging::log;
use crate::signals::ReloadSignal;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;

/// Reloads the configuration at each signal, and publishes the address of discovery if that has
/// changed.
pub async fn reload_on_signal(
    mut signal: ReloadSignal,
    started_with: Rc<Config>,
    discovery_address: watch::Sender<SocketAddr>,
) {
    while signal.recv().await.is_some() {
        match Config::from_env() {
            Ok(config) => apply(&config, &started_with, &discovery_address),
            Err(error) => log(format_args!(
                "bad configuration: {}; keeping the current configuration",
                ErrorChain(&error)
            )),
        }
    }
}

fn apply(config: &Config, started_with: &Config, discovery_address: &watch::Sender<SocketAddr>) {
    let ignored = started_with.changes_that_need_restart(config);
    if !ignored.is_empty() {
        let keys = ignored.join(", ");
        log(format_args!(
            "configuration changes that need a restart: {keys}"
        ));
    }
    let has_moved = discovery_address.send_if_modified(|address| {
        let differs = *address != config.discovery_address;
        *address = config.discovery_address;
        differs
    });
    let change = if has_moved { "changed to" } else { "is still" };
    log(format_args!(
        "configuration reloaded: discovery address {change} {}",
        config.discovery_address
    ));
}
