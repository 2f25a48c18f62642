//! The JSON schema of a settings file, and its conversion to [`Settings`]. The keys have the
//! operators' names; `docs/glossary.md` gives the name of each in the code. Times are in
//! milliseconds. Missing keys get the defaults that are defined here.

mod class;
mod load_report;
mod permissions;
mod rules;
mod tenant;
mod weights;

use super::millis::millis;
use super::model::Settings;
use class::ClassSchema;
use load_report::LoadReportSchema;
use permissions::PermissionsSchema;
use rules::RulesSchema;
use serde::Deserialize;
use tenant::TenantSchema;
use weights::{GoalSchema, PricesSchema};

/// The top-level object of a settings file.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct SettingsSchema {
    #[serde(default = "one_node")]
    n_instances: u32,
    #[serde(default)]
    ordinal: u32,
    #[serde(default)]
    zone: u8,
    #[serde(default)]
    pub localities: Vec<String>,
    #[serde(default)]
    pub host_types: Vec<String>,
    pub classes: Vec<ClassSchema>,
    #[serde(default)]
    pub projects: Vec<TenantSchema>,
    #[serde(default = "one")]
    over_share_worth: f64,
    #[serde(default)]
    counted_by: CountedBy,
    #[serde(default)]
    pub load_report: LoadReportSchema,
    #[serde(default)]
    pub permissions: PermissionsSchema,
    #[serde(default)]
    rules: RulesSchema,
    #[serde(default)]
    prices: PricesSchema,
    #[serde(default)]
    goal: GoalSchema,
    #[serde(default)]
    registry_mode: RegistryMode,
    #[serde(default = "one")]
    quantum: f64,
}

/// The unit that the objective counts.
#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum CountedBy {
    #[default]
    Request,
    Work,
}

/// How a node learns of changes of the endpoint list.
#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum RegistryMode {
    #[default]
    Push,
    Ask,
}

fn one() -> f64 {
    1.0
}

fn one_node() -> u32 {
    1
}

impl From<&SettingsSchema> for Settings {
    fn from(schema: &SettingsSchema) -> Self {
        Settings {
            node_count: schema.n_instances.max(1),
            node_index: schema.ordinal,
            zone: schema.zone,
            classes: schema.classes.iter().map(Into::into).collect(),
            tenants: schema.projects.iter().map(Into::into).collect(),
            over_quota_weight: schema.over_share_worth,
            weight_by_work: matches!(schema.counted_by, CountedBy::Work),
            load_reports: (&schema.load_report.via).into(),
            limits: (&schema.permissions).into(),
            rules: (&schema.rules).into(),
            cost_weights: (&schema.prices).into(),
            objective_weights: (&schema.goal).into(),
            poll_endpoints: matches!(schema.registry_mode, RegistryMode::Ask),
            tick: millis(schema.quantum),
        }
    }
}
