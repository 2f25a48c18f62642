//! The settings file: the [`Settings`] of a balancer, and the names of classes, tenants, zones and
//! machine types that the rest of a node uses.

use super::error::SettingsError;
use super::json::from_json;
use super::load_report_column::LoadReportColumn;
use super::millis::millis;
use super::model::Settings;
use super::schema::SettingsSchema;
use std::time::Duration;

/// The content of a settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsFile {
    /// The settings of the balancer.
    pub settings: Settings,
    /// The columns of load reports, in the order in which reports carry them.
    pub load_report_columns: Vec<LoadReportColumn>,
    /// The names of the classes, in the order of [`Settings::classes`].
    pub class_names: Vec<String>,
    /// The names of the tenants, in the order of [`Settings::tenants`].
    pub tenant_names: Vec<String>,
    /// The names of the zones, in the order of their numbers.
    pub zone_names: Vec<String>,
    /// The names of the machine types, in the order of their numbers.
    pub machine_type_names: Vec<String>,
    /// The time after which an endpoint closes an idle connection.
    pub endpoint_idle_timeout: Duration,
}

impl SettingsFile {
    /// Parses the JSON of a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not valid JSON, does not match the schema, or lists no
    /// classes.
    pub fn parse(text: &[u8]) -> Result<Self, SettingsError> {
        let schema: SettingsSchema = from_json(text)?;
        if schema.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        Ok(schema.into())
    }
}

impl From<SettingsSchema> for SettingsFile {
    fn from(schema: SettingsSchema) -> Self {
        SettingsFile {
            settings: (&schema).into(),
            load_report_columns: schema.load_report.columns,
            class_names: schema.classes.into_iter().map(|class| class.name).collect(),
            tenant_names: schema
                .projects
                .into_iter()
                .map(|tenant| tenant.name)
                .collect(),
            zone_names: schema.localities,
            machine_type_names: schema.host_types,
            endpoint_idle_timeout: millis(schema.permissions.idle_close),
        }
    }
}
