//! Reloads the configuration on SIGHUP. Only the address of discovery can change while the node
//! runs.

use crate::config::Config;
use crate::logging::log;
use crate::signals::ReloadSignal;
use ottertiller_error_chain::ErrorChain;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;

/// Reloads the configuration on each signal, and publishes the address of discovery if it has
/// changed. An invalid configuration is logged and ignored.
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

/// Publishes the address of discovery if it has changed, and logs the keys of other changes, which
/// have no effect before a restart.
fn apply(config: &Config, running_config: &Config, discovery_address: &watch::Sender<SocketAddr>) {
    let keys = running_config.changes_that_need_restart(config).join(", ");
    if !keys.is_empty() {
        log(format_args!(
            "configuration changes that need a restart: {keys}"
        ));
    }
    let changed = discovery_address.send_if_modified(|address| {
        let differs = *address != config.discovery_address;
        *address = config.discovery_address;
        differs
    });
    let change = if changed { "changed to" } else { "is still" };
    log(format_args!(
        "configuration reloaded: discovery address {change} {}",
        config.discovery_address
    ));
}
