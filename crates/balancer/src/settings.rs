//! The settings of a node, and the settings file they are read from.

mod error;
mod file;
mod json;
mod load_report_column;
mod millis;
mod model;
mod schema;

pub use error::{JsonError, SettingsError};
pub use file::SettingsFile;
pub use json::from_json;
pub use load_report_column::LoadReportColumn;
pub use millis::millis;
pub use model::{
    CostWeights, Idempotency, IdempotencyScope, Limits, LoadReportSource, ObjectiveWeights,
    RequestClass, Rules, Settings, Tenant,
};
