//! The configuration file: its JSON as it is written, before it is checked.

use serde::Deserialize;
use serde_json::value::RawValue;

/// The keys of the file.
#[derive(Deserialize)]
pub struct ConfigFile {
    /// The node's name, for the log.
    #[serde(default)]
    pub name: String,
    /// The address on which the node listens for clients.
    #[serde(rename = "listen")]
    pub listen_address: String,
    /// The address of the discovery service.
    #[serde(rename = "discovery")]
    pub discovery_address: String,
    /// The seed of all random choices, a hexadecimal number of up to 64 bits.
    #[serde(default)]
    pub seed: String,
    /// The resources that the node may use.
    #[serde(default)]
    pub limits: ResourceLimits,
    /// The endpoint list as the node last had it, in discovery's format.
    #[serde(default, rename = "known")]
    pub cached_list: Option<Box<RawValue>>,
    /// The balancer's settings, a settings file of its own.
    pub settings: Box<RawValue>,
}

/// The resources that the node may use.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct ResourceLimits {
    /// The number of file descriptors, whatever they are open for.
    pub sockets: usize,
    /// The memory, in units of 2^20 bytes.
    pub memory_mb: f64,
}

impl ResourceLimits {
    /// Returns the memory limit in bytes.
    pub fn memory_bytes(&self) -> usize {
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
