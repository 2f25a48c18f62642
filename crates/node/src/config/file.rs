//! The file format of the configuration: JSON as it is written, before it is checked.

use serde::Deserialize;
use serde_json::value::RawValue;

/// The whole file.
#[derive(Deserialize)]
pub struct File {
    /// The node's name, for the log.
    #[serde(default)]
    pub name: String,
    /// The address for clients.
    pub listen: String,
    /// The address of discovery.
    pub discovery: String,
    /// Seeds all random choices; hexadecimal, 64 bits.
    #[serde(default)]
    pub seed: String,
    /// The resources that the node may use.
    #[serde(default)]
    pub limits: Limits,
    /// The endpoint list as the node last had it, in discovery's format.
    #[serde(default, rename = "known")]
    pub cached_list: Option<Box<RawValue>>,
    /// The balancer's settings.
    pub settings: Box<RawValue>,
}

/// The resources that the node may use.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Descriptors, for whatever purpose.
    pub sockets: usize,
    /// Memory, in units of 2^20 bytes.
    pub memory_mb: f64,
}

impl Limits {
    /// The memory limit in bytes.
    pub fn memory_bytes(&self) -> usize {
        (self.memory_mb * f64::from(1 << 20)) as usize
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            sockets: 1024,
            memory_mb: 192.0,
        }
    }
}
