//! Errors of reading and checking the configuration.

use ottertiller_balancer::settings::{JsonError, SettingsError};
use std::io;
use std::net::AddrParseError;
use std::num::ParseIntError;
use std::path::PathBuf;
use thiserror::Error;

/// Why a configuration cannot be used. Each message is a single line, since it is logged.
#[derive(Debug, Error)]
pub(crate) enum ConfigError {
    /// The environment variable with the path of the configuration file is not set.
    #[error("environment variable {variable} is not set")]
    VariableNotSet {
        /// The name of the variable.
        variable: &'static str,
    },
    /// The file cannot be read.
    #[error("cannot read {}", path.display())]
    Read {
        /// The path of the file.
        path: PathBuf,
        /// The error of reading it.
        source: io::Error,
    },
    /// The file is not JSON of the expected form.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// The value of a key is not an IP address with a port.
    #[error("{key}: expected an IP address with a port")]
    InvalidAddress {
        /// The key.
        key: &'static str,
        /// The error of the parser.
        source: AddrParseError,
    },
    /// `seed` is not a hexadecimal number of up to 64 bits.
    #[error("seed: expected a hexadecimal number of up to 64 bits")]
    InvalidSeed(#[from] ParseIntError),
    /// `settings` cannot be used by the balancer.
    #[error("invalid settings")]
    InvalidSettings(#[from] SettingsError),
    /// A name in a list of `settings` is empty or repeated, which would be ambiguous.
    #[error("{key}: a name is empty or repeated in {names:?}")]
    InvalidNames {
        /// The key of the list.
        key: &'static str,
        /// All names in the list.
        names: Vec<String>,
    },
    /// `limits.sockets` leaves no connections for clients or endpoints.
    #[error("limits.sockets: {sockets} sockets are too few: expected at least {minimum}")]
    TooFewSockets {
        /// The configured number of sockets.
        sockets: usize,
        /// The smallest number that can be used.
        minimum: usize,
    },
}

#[cfg(test)]
mod tests;
