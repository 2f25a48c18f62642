//! The JSON of the configuration file, before its values are checked.

use serde::Deserialize;
use serde_json::value::RawValue;

/// The keys of the file.
#[derive(Deserialize)]
pub(super) struct ConfigFile {
    /// The node's name, for the log.
    #[serde(default)]
    pub name: String,
    /// The address on which the node listens for clients.
    #[serde(rename = "listen")]
    pub listen_address: String,
    /// The address of the discovery service.
    #[serde(rename = "discovery")]
    pub discovery_address: String,
    /// The seed of all random number generators, a hexadecimal number of up to 64 bits. An empty
    /// text stands for 0.
    #[serde(default)]
    pub seed: String,
    /// The resources that the node may use.
    #[serde(default)]
    pub limits: ResourceLimits,
    /// The last endpoint list that the node had, in discovery's format.
    #[serde(default, rename = "known")]
    pub cached_list: Option<Box<RawValue>>,
    /// The balancer's settings, in the format of its settings file.
    pub settings: Box<RawValue>,
}

/// The resources that the node may use.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub(super) struct ResourceLimits {
    /// The limit on file descriptors, including those that are not sockets.
    pub sockets: usize,
    /// The limit on memory, in MiB (2^20 bytes).
    pub memory_mb: f64,
}

impl ResourceLimits {
    /// Returns the memory limit in bytes.
    pub(super) fn memory_bytes(&self) -> usize {
        (self.memory_mb * f64::from(1 << 20)) as usize
    }
}

impl Default for ResourceLimits {
    fn default() -> Self {
        ResourceLimits {
            sockets: 1024,
            memory_mb: 192.0,
        }
    }
}
