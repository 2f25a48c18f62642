//! Derives the options of each part of the node from the configuration.

use crate::config::Config;
use crate::discovery::DiscoveryOptions;
use crate::downstream::{ClassOptions, DownstreamOptions};
use crate::driver::DriverOptions;
use crate::upstream::UpstreamOptions;
use crate::upstream::pool::{PoolOptions, RESPONSE_COOLDOWN};
use ottertiller_balancer::settings::SettingsFile;

/// Returns the options of the driver.
pub(crate) fn driver_options(config: &Config) -> DriverOptions {
    DriverOptions {
        settings: config.settings_file.settings.clone(),
        seed: config.seed,
    }
}

/// Returns the options of the downstream side.
pub(super) fn downstream_options(config: &Config) -> DownstreamOptions {
    let file = &config.settings_file;
    DownstreamOptions {
        max_connections: config.capacity.max_client_connections,
        classes: class_options(file),
        tenants: file.tenant_names.clone(),
        max_retry_after: file.settings.limits.max_retry_after,
    }
}

fn class_options(file: &SettingsFile) -> Vec<ClassOptions> {
    file.class_names
        .iter()
        .zip(&file.settings.classes)
        .map(|(name, class)| ClassOptions {
            name: name.clone(),
            idempotency: class.idempotency,
            deadline: class.deadline,
        })
        .collect()
}

/// Returns the options of the upstream side.
pub(crate) fn upstream_options(config: &Config) -> UpstreamOptions {
    let file = &config.settings_file;
    UpstreamOptions {
        pool: pool_options(config),
        load_report_source: file.settings.load_reports,
        load_report_columns: file.load_report_columns.clone(),
    }
}

fn pool_options(config: &Config) -> PoolOptions {
    let file = &config.settings_file;
    PoolOptions {
        max_connections: config.capacity.max_endpoint_connections,
        connect_timeout: file.settings.limits.connect_timeout,
        endpoint_idle_timeout: file.endpoint_idle_timeout,
        response_cooldown: RESPONSE_COOLDOWN,
    }
}

/// Returns the options of discovery.
pub(crate) fn discovery_options(config: &Config) -> DiscoveryOptions {
    let file = &config.settings_file;
    DiscoveryOptions {
        address: config.discovery_address,
        cached_list: config.cached_list.clone(),
        seed: config.seed,
        poll: file.settings.poll_endpoints,
        drain_grace: file.settings.rules.drain_grace,
        zone_names: file.zone_names.clone(),
        machine_type_names: file.machine_type_names.clone(),
    }
}
