//! The parts of a node that take in endpoint lists.

use super::super::Discovery;
use crate::clock::Clock;
use crate::config::Config;
use crate::driver::{Driver, DriverChannels};
use crate::memory_budget::MemoryBudget;
use crate::startup::{discovery_options, driver_options, upstream_options};
use crate::upstream::Upstream;
use std::net::SocketAddr;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, spawn_local};

/// Returns the configuration of a node that keeps its list up to date in this mode.
pub(super) fn config(address: SocketAddr, mode: &str, poll_interval: u64, seed: u64) -> Config {
    let text = format!(
        r#"{{"listen":"127.0.0.1:0","discovery":"{address}","seed":"{seed:x}",
        "known":{{"index":7,"snapshot":true,"endpoints":[]}},
        "settings":{{"RegistryMode":"{mode}","Quantum":1,
        "Classes":[{{"Name":"read","Target":250,"GiveUp":630,"Idempotency":"free"}}],
        "Rules":{{"DrainGrace":60000,"MustAskIn":{poll_interval}}}}}}}"#
    );
    Config::parse(&text).expect("good")
}

/// A driver and its discovery, until this is dropped.
pub(super) struct TestNode {
    tasks: [JoinHandle<()>; 2],
    _address_changes: watch::Sender<SocketAddr>,
}

impl TestNode {
    /// Starts the parts that the configuration describes.
    pub(super) fn start(config: &Config) -> Self {
        let clock = Clock::start();
        let (messages, mut inbox) = mpsc::channel(64);
        let (commands, discovery_commands) = mpsc::channel(16);
        let (address_changes, addresses) = watch::channel(config.discovery_address);
        let upstream = Upstream::start(clock, upstream_options(config), MemoryBudget::new(1 << 20));
        let options = driver_options(config);
        let channels = DriverChannels {
            driver: messages.clone(),
            discovery: commands,
        };
        let mut driver = Driver::new(clock, options, upstream, channels);
        let driver = spawn_local(async move { driver.run(&mut inbox).await });
        let discovery = Discovery::new(discovery_options(config), messages);
        let discovery = spawn_local(discovery.run(discovery_commands, addresses));
        TestNode {
            tasks: [driver, discovery],
            _address_changes: address_changes,
        }
    }
}

impl Drop for TestNode {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}
