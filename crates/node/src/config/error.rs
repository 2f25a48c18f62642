//! Why a configuration cannot be used.

use ottertiller_balancer::settings::{JsonError, SettingsError};
use std::io;
use std::net::AddrParseError;
use std::num::ParseIntError;
use std::path::PathBuf;
use thiserror::Error;

/// A configuration that cannot be used. The text is one line, as the log takes it.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The environment does not name a file.
    #[error("bad configuration: {variable} is not set")]
    NotSet {
        /// The environment variable.
        variable: &'static str,
    },
    /// The file cannot be read.
    #[error("bad configuration: cannot read {}: {cause}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why not.
        #[source]
        cause: io::Error,
    },
    /// The file is not the expected JSON.
    #[error("bad configuration: {0}")]
    Malformed(#[from] JsonError),
    /// The value of a key is no IP address with a port.
    #[error("bad configuration: {key}: {cause}")]
    InvalidAddress {
        /// The key.
        key: &'static str,
        /// Why not.
        #[source]
        cause: AddrParseError,
    },
    /// `seed` is not a hexadecimal number of 64 bits.
    #[error("bad configuration: seed: {0}")]
    InvalidSeed(#[from] ParseIntError),
    /// `settings` does not suit the balancer.
    #[error("bad configuration: {0}")]
    InvalidSettings(#[from] SettingsError),
    /// The names under a key of `settings` are empty or repeated, so that one name could mean two
    /// things.
    #[error("bad configuration: {key}: a name is empty or stands twice in {names:?}")]
    InvalidNames {
        /// The key.
        key: &'static str,
        /// All names under it.
        names: Vec<String>,
    },
    /// `limits.sockets` leaves no connection for clients or endpoints.
    #[error("bad configuration: limits.sockets: {sockets} sockets are too few: {least} at least")]
    TooFewSockets {
        /// How many are configured.
        sockets: usize,
        /// How many are needed.
        least: usize,
    },
}

#[cfg(test)]
mod tests;
