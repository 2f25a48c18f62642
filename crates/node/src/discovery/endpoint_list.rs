//! Parsing of endpoint lists, and the endpoints' numbers.

use crate::message::ListedEndpoint;
use crate::stable_hash::stable_hash;
use ottertiller_balancer::settings::millis;
use ottertiller_balancer::{EndpointEntry, EndpointId, EndpointState};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// The machine type of an endpoint whose type has no name in the settings.
const UNKNOWN_MACHINE_TYPE: u8 = u8::MAX;
/// The zone of an endpoint that names none.
const DEFAULT_ZONE: u8 = 0;

/// A list is no JSON, or lacks what every list has.
#[derive(Debug, thiserror::Error)]
#[error("malformed endpoint list dropped")]
pub(super) struct MalformedList(#[from] serde_json::Error);

/// Why an entry of a list was dropped.
#[derive(Debug, thiserror::Error)]
pub(super) enum EntryError {
    /// It is no JSON object with the fields of an entry.
    #[error("malformed endpoint list entry dropped")]
    Malformed(#[from] serde_json::Error),
    /// Its zone is none of the settings'.
    #[error("malformed endpoint list entry dropped: {name}: unknown zone {zone}")]
    UnknownZone {
        /// The endpoint's name.
        name: String,
        /// The zone's name.
        zone: String,
    },
}

/// A list or a change of it, its entries not parsed yet: a malformed one is dropped alone.
#[derive(Deserialize)]
pub(super) struct EndpointList {
    /// The version of the list that it belongs to.
    pub index: Option<u64>,
    /// Whether it is complete.
    #[serde(default)]
    pub snapshot: bool,
    /// The entries, not parsed yet.
    #[serde(rename = "endpoints")]
    pub entries: Vec<Value>,
}

impl EndpointList {
    /// Parses a list, but not its entries.
    pub(super) fn parse(text: &[u8]) -> Result<Self, MalformedList> {
        Ok(serde_json::from_slice(text)?)
    }
}

/// An entry as discovery writes it.
#[derive(Deserialize)]
struct RawEntry {
    name: String,
    address: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default, rename = "type")]
    machine_type: String,
    #[serde(default)]
    group: u16,
    status: Status,
    #[serde(default = "default_weight")]
    weight: f32,
    #[serde(default)]
    since_ms: f64,
}

/// The state of an endpoint as discovery writes it.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Status {
    InService,
    Terminating,
    Terminated,
}

impl From<Status> for EndpointState {
    fn from(status: Status) -> Self {
        match status {
            Status::InService => EndpointState::Ready,
            Status::Terminating => EndpointState::Draining,
            Status::Terminated => EndpointState::Removed,
        }
    }
}

fn default_weight() -> f32 {
    1.0
}

/// Parses entries by the names that the settings list.
pub(super) struct EntryParser {
    zone_names: Vec<String>,
    machine_type_names: Vec<String>,
}

impl EntryParser {
    /// Returns a parser for zones and machine types of these names, in the order of their numbers.
    pub(super) fn new(zone_names: Vec<String>, machine_type_names: Vec<String>) -> Self {
        EntryParser {
            zone_names,
            machine_type_names,
        }
    }

    /// Parses an entry.
    pub(super) fn parse(&self, entry: Value) -> Result<ListedEndpoint, EntryError> {
        let raw: RawEntry = serde_json::from_value(entry)?;
        let Some(zone) = self.zone(&raw.zone) else {
            return Err(EntryError::UnknownZone {
                name: raw.name,
                zone: raw.zone,
            });
        };
        let entry = EndpointEntry {
            id: endpoint_id(&raw.name),
            zone,
            // An endpoint of a new type serves like any other, but the zone decides where retries
            // may go.
            machine_type: position(&self.machine_type_names, &raw.machine_type)
                .unwrap_or(UNKNOWN_MACHINE_TYPE),
            cell: raw.group,
            state: raw.status.into(),
            weight: raw.weight,
            started: (raw.since_ms > 0.0).then(|| millis(raw.since_ms)),
        };
        Ok(ListedEndpoint {
            entry,
            address: raw.address,
        })
    }

    /// Returns the number of a zone; `None` if its name is not in the settings.
    fn zone(&self, name: &str) -> Option<u8> {
        if name.is_empty() {
            Some(DEFAULT_ZONE)
        } else {
            position(&self.zone_names, name)
        }
    }
}

/// Returns the position of a name, which is its number.
fn position(names: &[String], name: &str) -> Option<u8> {
    let position = names.iter().position(|known| known == name)?;
    u8::try_from(position).ok()
}

/// Returns an endpoint's number. It depends on the name alone, since it must be the same at every
/// node and after every restart.
fn endpoint_id(name: &str) -> EndpointId {
    EndpointId(stable_hash(name))
}

#[cfg(test)]
mod tests;
