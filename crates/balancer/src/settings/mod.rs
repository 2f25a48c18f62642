//! The settings of a node, and the settings file they are read from.

mod error;
mod file;
mod model;
mod report_column;

pub use error::{JsonError, SettingsError};
pub use file::{Site, from_json, millis, parse};
pub use model::{
    Goal, Idempotency, Limits, LoadReportSource, Prices, RequestClass, Rules, Scope, Settings,
    Tenant,
};
pub use report_column::Column;
