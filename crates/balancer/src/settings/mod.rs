//! The settings of a node, and the settings file they are read from.

mod error;
mod file;
mod json;
mod millis;
mod model;
mod report_column;
mod schema;

pub use error::{JsonError, SettingsError};
pub use file::SettingsFile;
pub use json::from_json;
pub use millis::millis;
pub use model::{
    CostWeights, Idempotency, Limits, LoadReportSource, ObjectiveWeights, RequestClass, Rules,
    Scope, Settings, Tenant,
};
pub use report_column::Column;
