//! Reloads the configuration on SIGHUP. Only the address of discovery can change in a running node.

use crate::config::Config;
use crate::logging::log;
use crate::signals::ReloadSignal;
use ottertiller_error_chain::ErrorChain;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;

/// Reloads the configuration on each signal, and publishes the address of discovery if it has
/// changed. A configuration that cannot be used changes nothing.
pub(crate) async fn reload_on_signal(
    mut signal: ReloadSignal,
    running_config: Rc<Config>,
    discovery_address: watch::Sender<SocketAddr>,
) {
    while signal.recv().await.is_some() {
        match Config::from_env() {
            Ok(config) => apply(&config, &running_config, &discovery_address),
            Err(error) => log(format_args!(
                "reload failed: keeping the current configuration: {}",
                ErrorChain(&error)
            )),
        }
    }
}

/// Publishes the address of discovery, and logs which other changes have no effect.
fn apply(config: &Config, running_config: &Config, discovery_address: &watch::Sender<SocketAddr>) {
    let keys = running_config.changes_that_need_restart(config).join(", ");
    if !keys.is_empty() {
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
