//! Builds the parts of the node from the configuration, connects them, and runs them until
//! shutdown.

use crate::clock::Clock;
use crate::config::{Config, ConfigError};
use crate::discovery::{self, Discovery};
use crate::downstream::{self, Downstream};
use crate::driver::{Driver, DriverChannels, DriverOptions};
use crate::logging::log;
use crate::memory_budget::Budget;
use crate::reload::reload_on_signal;
use crate::signals::Signals;
use crate::upstream::pool::RESPONSE_COOLDOWN;
use crate::upstream::{self, Upstream};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinError, spawn_local};

/// The capacity of the driver's inbox. Each request in flight reserves a slot for its client's
/// disconnect.
const DRIVER_INBOX: usize = 4096;
/// The capacity of discovery's inbox.
const DISCOVERY_INBOX: usize = 16;

/// The reason for which the node could not start, or stopped without being asked to.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The async runtime could not be built.
    #[error("cannot start")]
    Runtime(#[source] io::Error),
    /// The signal handlers could not be installed.
    #[error("cannot listen for signals")]
    Signals(#[source] io::Error),
    /// The configuration cannot be used.
    #[error("bad configuration")]
    Config(#[from] ConfigError),
    /// The address for clients cannot be listened on.
    #[error("cannot listen on {address}")]
    Bind {
        /// The configured address.
        address: SocketAddr,
        /// The error of the system.
        source: io::Error,
    },
    /// The listener's local address is not known.
    #[error("cannot listen")]
    LocalAddress(#[source] io::Error),
    /// The driver's task has ended, or has panicked if there is an error.
    #[error("the driver task ended")]
    DriverEnded(#[source] Option<JoinError>),
    /// Discovery's task has ended, or has panicked if there is an error.
    #[error("the discovery task ended")]
    DiscoveryEnded(#[source] Option<JoinError>),
}

/// Reads the configuration, and runs the node until its graceful shutdown is complete.
pub async fn run() -> Result<(), NodeError> {
    let signals = Signals::install().map_err(NodeError::Signals)?;
    let config = Rc::new(Config::from_env()?);
    let listener = bind(config.listen_address).await?;
    serve(config, listener, signals).await
}

async fn bind(address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| NodeError::Bind { address, source })
}

/// Builds the parts, connects them, and runs them until the downstream side has drained.
async fn serve(
    config: Rc<Config>,
    listener: TcpListener,
    signals: Signals,
) -> Result<(), NodeError> {
    let clock = Clock::start();
    let (messages, mut inbox) = mpsc::channel(DRIVER_INBOX);
    let (discovery_commands, discovery_inbox) = mpsc::channel(DISCOVERY_INBOX);
    let (address_sender, discovery_address) = watch::channel(config.discovery_address);
    let budget = Budget::new(config.capacity.body_bytes);
    let upstream = Upstream::start(clock, upstream_options(&config), budget.clone());
    let discovery = Discovery::new(discovery_options(&config), messages.clone());
    let is_ready = discovery.ready();
    let channels = DriverChannels {
        messages: messages.clone(),
        discovery: discovery_commands,
    };
    let mut driver = Driver::new(clock, driver_options(&config), upstream, channels);
    let downstream = Downstream::new(
        clock,
        downstream_options(&config),
        budget,
        messages,
        is_ready,
    );

    let mut driver = spawn_local(async move { driver.run(&mut inbox).await });
    let mut discovery = spawn_local(discovery.run(discovery_inbox, discovery_address));
    spawn_local(reload_on_signal(
        signals.reload,
        config.clone(),
        address_sender,
    ));
    let address = listener.local_addr().map_err(NodeError::LocalAddress)?;
    log(format_args!("{} listens on {address}", config.name));

    tokio::select! {
        () = downstream.run(listener, signals.shutdown.recv()) => Ok(()),
        result = &mut driver => Err(NodeError::DriverEnded(result.err())),
        result = &mut discovery => Err(NodeError::DiscoveryEnded(result.err())),
    }
}

/// What the driver takes from the configuration.
pub fn driver_options(config: &Config) -> DriverOptions {
    DriverOptions {
        settings: config.settings_file.settings.clone(),
        seed: config.seed,
    }
}

fn downstream_options(config: &Config) -> downstream::DownstreamOptions {
    let names = config.settings_file.class_names.iter();
    let classes = names
        .zip(&config.settings_file.settings.classes)
        .map(|(name, class)| downstream::RequestClass {
            name: name.clone(),
            idempotency: class.idempotency,
            deadline: class.deadline,
        });
    downstream::DownstreamOptions {
        max_connections: config.capacity.client_connections,
        classes: classes.collect(),
        tenants: config.settings_file.tenant_names.clone(),
        max_retry_after: config.settings_file.settings.limits.max_retry_after,
    }
}

/// What the upstream side takes from the configuration.
pub fn upstream_options(config: &Config) -> upstream::UpstreamOptions {
    let pool = upstream::pool::PoolOptions {
        max_connections: config.capacity.endpoint_connections,
        connect_timeout: config.settings_file.settings.limits.connect_timeout,
        endpoint_idle_timeout: config.settings_file.endpoint_idle_timeout,
        response_cooldown: RESPONSE_COOLDOWN,
    };
    upstream::UpstreamOptions {
        pool,
        load_report_source: config.settings_file.settings.load_reports,
        load_report_columns: config.settings_file.load_report_columns.clone(),
    }
}

/// What discovery takes from the configuration.
pub fn discovery_options(config: &Config) -> discovery::DiscoveryOptions {
    let file = &config.settings_file;
    discovery::DiscoveryOptions {
        address: config.discovery_address,
        cached_list: config.cached_list.clone(),
        seed: config.seed,
        poll: file.settings.poll_endpoints,
        drain_grace: file.settings.rules.drain_grace,
        zone_names: file.zone_names.clone(),
        machine_type_names: file.machine_type_names.clone(),
    }
}
