//! Starts nodes and sends them their first endpoint list.

use super::config::NodeConfig;
use super::discovery::{DiscoveryServer, in_service, snapshot};
use super::endpoint::ScriptedEndpoint;
use super::process::NodeProcess;
use super::settings::NodeSettings;
use super::wait::wait_until;

/// The index of the first endpoint list that discovery sends to a node.
pub(crate) const FIRST_LIST_INDEX: u64 = 8;

/// Options for starting a node.
#[derive(Clone, Debug, Default)]
pub(crate) struct NodeSetup {
    settings: NodeSettings,
    sockets: Option<u32>,
    limits: Option<&'static str>,
    open_file_limit: Option<u32>,
    has_unread_log: bool,
}

impl NodeSetup {
    /// Creates options with these settings and no other changes.
    pub(crate) fn with_settings(settings: NodeSettings) -> Self {
        NodeSetup {
            settings,
            ..NodeSetup::default()
        }
    }

    /// Sets the limit of descriptors for sockets in the configuration.
    pub(crate) fn sockets(self, sockets: u32) -> Self {
        NodeSetup {
            sockets: Some(sockets),
            ..self
        }
    }

    /// Sets the limits of the configuration, as members of a JSON object.
    pub(crate) fn limits(self, limits: &'static str) -> Self {
        NodeSetup {
            limits: Some(limits),
            ..self
        }
    }

    /// Sets the limit of descriptors that the system imposes on the process.
    pub(crate) fn open_file_limit(self, descriptors: u32) -> Self {
        NodeSetup {
            open_file_limit: Some(descriptors),
            ..self
        }
    }

    /// Leaves the log unread and its socket full.
    pub(crate) fn unread_log(self) -> Self {
        NodeSetup {
            has_unread_log: true,
            ..self
        }
    }

    /// Starts a node, sends it a list of these endpoints and waits until it is ready. The endpoints
    /// are named `s-0`, `s-1` and so on.
    pub(crate) fn start(self, endpoints: &[&ScriptedEndpoint]) -> (NodeProcess, DiscoveryServer) {
        let mut discovery = DiscoveryServer::start();
        let mut config = NodeConfig::new(discovery.address, &self.settings);
        if let Some(sockets) = self.sockets {
            config = config.sockets(sockets);
        }
        if let Some(limits) = self.limits {
            config = config.limits(limits);
        }
        let config = config.to_json();
        let node = if self.has_unread_log {
            NodeProcess::start_with_unread_log(&config)
        } else {
            NodeProcess::start_with_open_file_limit(&config, self.open_file_limit)
        };
        discovery.accept_watch();
        let entries: Vec<_> = endpoints
            .iter()
            .enumerate()
            .map(|(number, endpoint)| in_service(&format!("s-{number}"), endpoint.address))
            .collect();
        discovery.send_list(&snapshot(FIRST_LIST_INDEX, &entries));
        wait_until(|| node.is_ready(), "the node to become ready");
        (node, discovery)
    }
}

/// Starts a node with the default settings. See [`NodeSetup::start`].
pub(crate) fn start_node(endpoints: &[&ScriptedEndpoint]) -> (NodeProcess, DiscoveryServer) {
    NodeSetup::default().start(endpoints)
}
