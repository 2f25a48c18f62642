//! Parsing of endpoint lists, and the ids of endpoints.

use crate::message::ListedEndpoint;
use crate::stable_hash::stable_hash;
use ottertiller_balancer::settings::millis;
use ottertiller_balancer::{EndpointEntry, EndpointId, EndpointState};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// The machine type of an endpoint whose type is not named in the settings.
const UNKNOWN_MACHINE_TYPE: u8 = u8::MAX;
/// The zone of an endpoint whose entry names no zone.
const DEFAULT_ZONE: u8 = 0;

/// A list is not valid JSON, or lacks a required field.
#[derive(Debug, thiserror::Error)]
#[error("malformed endpoint list dropped")]
pub(super) struct MalformedList(#[from] serde_json::Error);

/// Why an entry of a list is dropped.
#[derive(Debug, thiserror::Error)]
pub(super) enum EntryError {
    /// The entry is not a JSON object with the fields of an entry.
    #[error("malformed endpoint list entry dropped")]
    Malformed(#[from] serde_json::Error),
    /// The settings do not name the entry's zone.
    #[error("malformed endpoint list entry dropped: {name}: unknown zone {zone}")]
    UnknownZone {
        /// The name of the endpoint.
        name: String,
        /// The name of the unknown zone.
        zone: String,
    },
}

/// A complete list or a delta. Its entries are parsed separately, so that a malformed entry can be
/// dropped without the others.
#[derive(Deserialize)]
pub(super) struct EndpointList {
    /// The version of the endpoint list after this update.
    pub index: Option<u64>,
    /// Whether this is a complete list rather than a delta.
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

/// An entry in discovery's format.
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

/// The state of an endpoint in discovery's format.
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

/// Parses entries, with the names of zones and machine types from the settings.
pub(super) struct EntryParser {
    zone_names: Vec<String>,
    machine_type_names: Vec<String>,
}

impl EntryParser {
    /// Creates a parser for zones and machine types of these names, in the order of their numbers.
    pub(super) fn new(zone_names: Vec<String>, machine_type_names: Vec<String>) -> Self {
        EntryParser {
            zone_names,
            machine_type_names,
        }
    }

    /// Parses an entry.
    pub(super) fn parse(&self, entry: Value) -> Result<ListedEndpoint, EntryError> {
        let raw: RawEntry = serde_json::from_value(entry)?;
        let Some(zone) = self.zone_number(&raw.zone) else {
            return Err(EntryError::UnknownZone {
                name: raw.name,
                zone: raw.zone,
            });
        };
        let entry = EndpointEntry {
            id: endpoint_id(&raw.name),
            zone,
            // An unknown machine type is accepted, because it does not keep the endpoint from
            // serving. An unknown zone is not, because the zone decides where retries may go.
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

    /// Returns the number of a zone; `None` if the settings do not name it.
    fn zone_number(&self, name: &str) -> Option<u8> {
        if name.is_empty() {
            Some(DEFAULT_ZONE)
        } else {
            position(&self.zone_names, name)
        }
    }
}

/// Returns the position of a name in `names`, which is the number of its zone or machine type.
fn position(names: &[String], name: &str) -> Option<u8> {
    let position = names.iter().position(|known| known == name)?;
    u8::try_from(position).ok()
}

/// Returns the id of an endpoint. It depends on the name alone, because it must be the same in
/// every node and after every restart.
fn endpoint_id(name: &str) -> EndpointId {
    EndpointId(stable_hash(name))
}

#[cfg(test)]
mod tests;
