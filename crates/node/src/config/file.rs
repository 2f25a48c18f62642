//! The file format of the configuration: JSON as it is written, before it is checked.

use serde::Deserialize;
use serde_json::value::RawValue;

/// The whole file.
#[derive(Deserialize)]
pub struct File {
    #[serde(default)]
    pub name: String,
    pub listen: String,
    pub discovery: String,
    #[serde(default)]
    pub seed: String,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub known: Option<Box<RawValue>>,
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
        Limits { sockets: 1024, memory_mb: 192.0 }
    }
}
