//! The node's configuration. It is read from the file that `PROXY_CONFIG` names, and checked.

mod capacity;
mod error;
mod file;

pub(crate) use error::ConfigError;

use capacity::{Capacity, MIN_SOCKETS};
use file::{ConfigFile, ResourceLimits};
use ottertiller_balancer::settings::{self, SettingsFile};
use rustix::process::{Resource, getrlimit};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The environment variable with the path of the file. Other `PROXY_` variables repeat values of
/// the file and are not read.
const CONFIG_VARIABLE: &str = "PROXY_CONFIG";

/// A node's configuration. Its values have been checked.
pub(crate) struct Config {
    /// The node's name, for the log.
    pub name: String,
    /// The address on which the node listens for clients.
    pub listen_address: SocketAddr,
    /// The address of the discovery service.
    pub discovery_address: SocketAddr,
    /// The seed of all random number generators.
    pub seed: u64,
    /// The configured limits, from which `capacity` is derived.
    limits: ResourceLimits,
    /// The greatest numbers of connections and the memory for bodies.
    pub capacity: Capacity,
    /// The last endpoint list that this node had, in discovery's format. It may be out of date.
    pub cached_list: Option<String>,
    /// The balancer's settings, and the names of classes, tenants, zones and machine types.
    pub settings_file: SettingsFile,
}

impl Config {
    /// Reads the file that `PROXY_CONFIG` names.
    pub(crate) fn from_env() -> Result<Self, ConfigError> {
        let path = std::env::var_os(CONFIG_VARIABLE).ok_or(ConfigError::VariableNotSet {
            variable: CONFIG_VARIABLE,
        })?;
        let path = PathBuf::from(path);
        match std::fs::read_to_string(&path) {
            Ok(text) => Config::parse(&text),
            Err(source) => Err(ConfigError::Read { path, source }),
        }
    }

    /// Parses and checks the text of a configuration file.
    pub(crate) fn parse(text: &str) -> Result<Self, ConfigError> {
        let file: ConfigFile = settings::from_json(text.as_bytes())?;
        let listen_address = parse_address("listen", &file.listen_address)?;
        let discovery_address = parse_address("discovery", &file.discovery_address)?;
        let seed = parse_seed(&file.seed)?;
        let settings_file = parse_settings(file.settings.get())?;
        check_names(&settings_file)?;
        let capacity = capacity(&file.limits)?;
        Ok(Config {
            name: file.name,
            listen_address,
            discovery_address,
            seed,
            limits: file.limits,
            capacity,
            cached_list: file.cached_list.map(|list| list.get().to_owned()),
            settings_file,
        })
    }

    /// Returns the keys whose values differ in a later configuration but cannot change while the
    /// node runs. The seed and the cached list are not compared, since they are used only at the
    /// start.
    pub(crate) fn changes_that_need_restart(&self, later: &Config) -> Vec<&'static str> {
        let keys = [
            ("name", self.name != later.name),
            ("listen", self.listen_address != later.listen_address),
            ("limits", self.limits != later.limits),
            ("settings", self.settings_file != later.settings_file),
        ];
        keys.into_iter()
            .filter(|(_, differs)| *differs)
            .map(|(key, _)| key)
            .collect()
    }
}

fn parse_address(key: &'static str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse()
        .map_err(|source| ConfigError::InvalidAddress { key, source })
}

fn parse_seed(text: &str) -> Result<u64, ConfigError> {
    if text.is_empty() {
        return Ok(0);
    }
    Ok(u64::from_str_radix(text, 16)?)
}

fn parse_settings(json: &str) -> Result<SettingsFile, ConfigError> {
    Ok(SettingsFile::parse(json.as_bytes())?)
}

/// Checks that the names of classes, tenants and zones are unique and not empty. A name is mapped
/// to its position, so a repeated name would be ambiguous.
fn check_names(settings: &SettingsFile) -> Result<(), ConfigError> {
    let lists = [
        ("settings.Classes", &settings.class_names),
        ("settings.Projects", &settings.tenant_names),
        ("settings.Localities", &settings.zone_names),
    ];
    for (key, names) in lists {
        let has_empty = names.iter().any(String::is_empty);
        let has_repeated = names
            .iter()
            .enumerate()
            .any(|(i, name)| names[..i].contains(name));
        if has_empty || has_repeated {
            return Err(ConfigError::InvalidNames {
                key,
                names: names.clone(),
            });
        }
    }
    Ok(())
}

/// Returns the capacity within the configured limits and the system's limit of open files.
fn capacity(limits: &ResourceLimits) -> Result<Capacity, ConfigError> {
    if limits.sockets < MIN_SOCKETS {
        return Err(ConfigError::TooFewSockets {
            sockets: limits.sockets,
            minimum: MIN_SOCKETS,
        });
    }
    let descriptors = limits.sockets.min(open_file_limit());
    Ok(Capacity::from_limits(descriptors, limits.memory_bytes()))
}

/// Returns how many files the system lets this process open.
fn open_file_limit() -> usize {
    match getrlimit(Resource::Nofile).current {
        Some(limit) => usize::try_from(limit).unwrap_or(usize::MAX),
        None => usize::MAX,
    }
}
