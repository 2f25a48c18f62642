//! What the settings permit (`Permissions`).

use crate::settings::millis::millis;
use crate::settings::model::Limits;
use serde::Deserialize;

/// What the settings permit.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct PermissionsSchema {
    attempts_cap: u32,
    cancel: bool,
    connect_timeout: f64,
    pub idle_close: f64,
    max_retry_after: f64,
    parallel_tries: bool,
    probes: bool,
    retry_after: bool,
}

impl Default for PermissionsSchema {
    fn default() -> Self {
        PermissionsSchema {
            attempts_cap: 1,
            cancel: false,
            connect_timeout: 250.0,
            idle_close: 15_000.0,
            max_retry_after: 0.0,
            parallel_tries: false,
            probes: false,
            retry_after: false,
        }
    }
}

impl From<&PermissionsSchema> for Limits {
    fn from(schema: &PermissionsSchema) -> Self {
        Limits {
            max_attempts: schema.attempts_cap,
            allow_cancellation: schema.cancel,
            allow_health_checks: schema.probes,
            allow_parallel_attempts: schema.parallel_tries,
            max_retry_after: schema.retry_after.then(|| millis(schema.max_retry_after)),
            connect_timeout: millis(schema.connect_timeout),
        }
    }
}
