//! The node's configuration: read from the file that `PROXY_CONFIG` names, checked, and turned into
//! the sizes that the parts of the node are built with.

mod capacity;
mod error;
mod file;

pub use error::ConfigError;

use capacity::{Capacity, MIN_SOCKETS};
use file::{File, Limits};
use ottertiller_balancer::settings::{self, SettingsFile};
use rustix::process::{Resource, getrlimit};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The environment variable that names the file. The other `PROXY_` variables say nothing that the
/// file does not.
const FILE_VARIABLE: &str = "PROXY_CONFIG";

/// A node's configuration, checked.
pub struct Config {
    /// The node's name, for the log.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// The seed of all random choices.
    pub seed: u64,
    /// The configured limits, from which the sizes below are derived.
    limits: Limits,
    /// The most client connections.
    pub client_connections: usize,
    /// The most connections to endpoints.
    pub endpoint_connections: usize,
    /// The most bytes of request and response bodies held at once.
    pub body_bytes: usize,
    /// The endpoint list as this node last had it: discovery's JSON, perhaps out of date.
    pub cached_list: Option<String>,
    /// The balancer's settings, and the names that requests and endpoints use.
    pub settings_file: SettingsFile,
}

impl Config {
    /// Reads the file that `PROXY_CONFIG` names.
    pub fn from_env() -> Result<Self, ConfigError> {
        let path = std::env::var_os(FILE_VARIABLE).ok_or(ConfigError::VariableNotSet {
            variable: FILE_VARIABLE,
        })?;
        let path = PathBuf::from(path);
        match std::fs::read_to_string(&path) {
            Ok(text) => Config::parse(&text),
            Err(source) => Err(ConfigError::Read { path, source }),
        }
    }

    /// Parses and checks the text of a configuration file.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let file: File = settings::from_json(text.as_bytes())?;
        let listen = parse_address("listen", &file.listen)?;
        let discovery = parse_address("discovery", &file.discovery)?;
        let seed = parse_seed(&file.seed)?;
        let settings_file = parse_settings(file.settings.get())?;
        check_names(&settings_file)?;
        let capacity = capacity(&file.limits)?;
        Ok(Config {
            name: file.name,
            listen,
            discovery,
            seed,
            limits: file.limits,
            client_connections: capacity.client_connections,
            endpoint_connections: capacity.endpoint_connections,
            body_bytes: capacity.body_bytes,
            cached_list: file.cached_list.map(|list| list.get().to_owned()),
            settings_file,
        })
    }

    /// The keys whose values differ in a later configuration but cannot change while the node runs.
    /// The seed is not among them: it is new with each start.
    pub fn changes_that_need_restart(&self, later: &Config) -> Vec<&'static str> {
        let keys = [
            ("name", self.name != later.name),
            ("listen", self.listen != later.listen),
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

/// Names are mapped to positions: two positions would mean the same class, tenant or zone if a name
/// was repeated.
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

fn capacity(limits: &Limits) -> Result<Capacity, ConfigError> {
    if limits.sockets < MIN_SOCKETS {
        return Err(ConfigError::TooFewSockets {
            sockets: limits.sockets,
            minimum: MIN_SOCKETS,
        });
    }
    let descriptors = limits.sockets.min(open_file_limit());
    Ok(Capacity::within(descriptors, limits.memory_bytes()))
}

/// How many files the system lets this process open.
fn open_file_limit() -> usize {
    match getrlimit(Resource::Nofile).current {
        Some(limit) => usize::try_from(limit).unwrap_or(usize::MAX),
        None => usize::MAX,
    }
}
