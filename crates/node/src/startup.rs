//! Builds the parts of the node from the configuration, connects them, and runs them until
//! shutdown.

mod error;
mod options;

pub(crate) use error::NodeError;
pub(crate) use options::{discovery_options, driver_options, upstream_options};

use crate::clock::Clock;
use crate::config::Config;
use crate::discovery::Discovery;
use crate::downstream::Downstream;
use crate::driver::{Driver, DriverChannels};
use crate::logging::log;
use crate::memory_budget::MemoryBudget;
use crate::message::{DiscoveryCommand, DriverMessage};
use crate::reload::reload_on_signal;
use crate::signals::Signals;
use crate::upstream::Upstream;
use options::downstream_options;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;

/// The capacity of the driver's inbox, in messages. Each request in flight reserves a slot for the
/// report of its client's disconnect.
const DRIVER_INBOX_CAPACITY: usize = 4096;
/// The capacity of discovery's inbox, in commands.
const DISCOVERY_INBOX_CAPACITY: usize = 16;

/// The parts of a node, connected but not running.
struct Node {
    downstream: Downstream,
    driver: Driver,
    driver_inbox: mpsc::Receiver<DriverMessage>,
    discovery: Discovery,
    discovery_inbox: mpsc::Receiver<DiscoveryCommand>,
}

/// Reads the configuration, and runs the node until its graceful shutdown is complete.
pub(crate) async fn run() -> Result<(), NodeError> {
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

/// Builds the parts and runs them until the downstream side has drained.
async fn serve(
    config: Rc<Config>,
    listener: TcpListener,
    signals: Signals,
) -> Result<(), NodeError> {
    let mut node = build(&config);
    let (address_sender, discovery_address) = watch::channel(config.discovery_address);
    let mut driver = spawn_local(async move { node.driver.run(&mut node.driver_inbox).await });
    let mut discovery = spawn_local(node.discovery.run(node.discovery_inbox, discovery_address));
    spawn_local(reload_on_signal(
        signals.reload,
        config.clone(),
        address_sender,
    ));
    let address = listener.local_addr().map_err(NodeError::LocalAddress)?;
    log(format_args!("{} listens on {address}", config.name));

    tokio::select! {
        () = node.downstream.run(listener, signals.shutdown.recv()) => Ok(()),
        result = &mut driver => Err(NodeError::DriverEnded(result.err())),
        result = &mut discovery => Err(NodeError::DiscoveryEnded(result.err())),
    }
}

/// Builds the parts of the node, and connects them by channels.
fn build(config: &Config) -> Node {
    let clock = Clock::start();
    let (driver_messages, driver_inbox) = mpsc::channel(DRIVER_INBOX_CAPACITY);
    let (discovery_commands, discovery_inbox) = mpsc::channel(DISCOVERY_INBOX_CAPACITY);
    let budget = MemoryBudget::new(config.capacity.body_bytes);
    let upstream = Upstream::start(clock, upstream_options(config), budget.clone());
    let discovery = Discovery::new(discovery_options(config), driver_messages.clone());
    let channels = DriverChannels {
        driver: driver_messages.clone(),
        discovery: discovery_commands,
    };
    let driver = Driver::new(clock, driver_options(config), upstream, channels);
    let downstream = Downstream::new(
        clock,
        downstream_options(config),
        budget,
        driver_messages,
        discovery.ready_flag(),
    );
    Node {
        downstream,
        driver,
        driver_inbox,
        discovery,
        discovery_inbox,
    }
}
