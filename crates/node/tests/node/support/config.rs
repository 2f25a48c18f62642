//! Builds configuration files for the node under test.

use super::discovery::snapshot;
use super::settings::NodeSettings;
use std::net::SocketAddr;

/// The index of the cached endpoint list.
pub(crate) const CACHED_LIST_INDEX: u64 = 7;

/// A configuration file. By default, the cached list has no endpoints and the limit of descriptors
/// for sockets is [`NodeConfig::DEFAULT_SOCKETS`].
#[derive(Clone, Debug)]
pub(crate) struct NodeConfig {
    name: &'static str,
    discovery: SocketAddr,
    /// The members of the JSON object `limits`, without `cores`.
    limits: String,
    /// The value of `known`. If `None`, the member is omitted.
    cached_list: Option<String>,
    settings: NodeSettings,
}

impl NodeConfig {
    /// The default limit of descriptors for sockets.
    pub(crate) const DEFAULT_SOCKETS: u32 = 1024;

    /// Creates a configuration with the defaults described at [`NodeConfig`].
    pub(crate) fn new(discovery: SocketAddr, settings: &NodeSettings) -> Self {
        NodeConfig {
            name: "n0",
            discovery,
            limits: String::new(),
            cached_list: Some(snapshot(CACHED_LIST_INDEX, &[])),
            settings: settings.clone(),
        }
        .sockets(Self::DEFAULT_SOCKETS)
    }

    /// Sets the node's name.
    pub(crate) fn name(self, name: &'static str) -> Self {
        NodeConfig { name, ..self }
    }

    /// Sets the limit of descriptors for sockets.
    pub(crate) fn sockets(self, sockets: u32) -> Self {
        self.limits(&format!(r#""memory_mb":192,"sockets":{sockets}"#))
    }

    /// Sets the limits, as members of a JSON object.
    pub(crate) fn limits(self, limits: &str) -> Self {
        NodeConfig {
            limits: limits.to_owned(),
            ..self
        }
    }

    /// Sets the cached list, as JSON. `None` omits it.
    pub(crate) fn cached_list(self, cached_list: Option<&str>) -> Self {
        NodeConfig {
            cached_list: cached_list.map(str::to_owned),
            ..self
        }
    }

    /// Sets the endpoints of the cached list.
    pub(crate) fn cached_endpoints(self, entries: &[String]) -> Self {
        self.cached_list(Some(&snapshot(CACHED_LIST_INDEX, entries)))
    }

    /// Returns the text of the configuration file.
    pub(crate) fn to_json(&self) -> String {
        let NodeConfig {
            name,
            discovery,
            limits,
            ..
        } = self;
        let settings = self.settings.to_json();
        let cached_list = match &self.cached_list {
            Some(list) => format!(r#""known":{list},"#),
            None => String::new(),
        };
        format!(
            r#"{{"name":"{name}","listen":"127.0.0.1:0","discovery":"{discovery}",
            "seed":"8c1f30d27a5be964","limits":{{"cores":1.0,{limits}}},
            {cached_list}"settings":{settings}}}"#
        )
    }
}
