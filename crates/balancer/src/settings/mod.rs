//! The settings of a node, and the settings file they are read from.

mod error;
mod file;
mod model;
mod report_column;

pub use error::{JsonError, SettingsError};
pub use file::{SettingsFile, from_json, millis};
pub use model::{
    CostWeights, Idempotency, Limits, LoadReportSource, ObjectiveWeights, RequestClass, Rules,
    Scope, Settings, Tenant,
};
pub use report_column::Column;
