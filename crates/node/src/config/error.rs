//! Errors of reading and checking the configuration.

use ottertiller_balancer::settings::{JsonError, SettingsError};
use std::io;
use std::net::AddrParseError;
use std::num::ParseIntError;
use std::path::PathBuf;
use thiserror::Error;

/// The reason for which a configuration cannot be used. Each text is one line, as the log takes it.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The environment does not name a configuration file.
    #[error("{variable} is not set")]
    VariableNotSet {
        /// The environment variable that should name it.
        variable: &'static str,
    },
    /// The file cannot be read.
    #[error("cannot read {}", path.display())]
    Read {
        /// The path of the file.
        path: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// The file is not JSON of the expected form.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// The value of a key is not an IP address with a port.
    #[error("{key}")]
    InvalidAddress {
        /// The key.
        key: &'static str,
        /// The error of the parser.
        source: AddrParseError,
    },
    /// `seed` is not a hexadecimal number of up to 64 bits.
    #[error("seed")]
    InvalidSeed(#[from] ParseIntError),
    /// `settings` cannot be used by the balancer.
    #[error("bad settings")]
    InvalidSettings(#[from] SettingsError),
    /// A name under a key of `settings` is empty or repeated, so that it could mean two things.
    #[error("{key}: a name is empty or stands twice in {names:?}")]
    InvalidNames {
        /// The key.
        key: &'static str,
        /// All names under it.
        names: Vec<String>,
    },
    /// `limits.sockets` leaves no connection for clients or endpoints.
    #[error("limits.sockets: {sockets} sockets are too few: {minimum} at least")]
    TooFewSockets {
        /// The configured number of sockets.
        sockets: usize,
        /// The smallest number that can be used.
        minimum: usize,
    },
}

#[cfg(test)]
mod tests;
