//! The schema of load reporting (`LoadReport`).

use crate::settings::load_report_column::LoadReportColumn;
use crate::settings::model::LoadReportSource;
use serde::Deserialize;

/// How endpoints report their load.
#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct LoadReportSchema {
    pub columns: Vec<LoadReportColumn>,
    pub via: ViaSchema,
}

/// How endpoints deliver their load reports.
#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ViaSchema {
    Piggyback,
    Pull,
    #[default]
    Silent,
}

impl From<&ViaSchema> for LoadReportSource {
    fn from(schema: &ViaSchema) -> Self {
        match schema {
            ViaSchema::Piggyback => LoadReportSource::Responses,
            ViaSchema::Pull => LoadReportSource::HealthChecks,
            ViaSchema::Silent => LoadReportSource::None,
        }
    }
}
