//! What the objective is made of (`Goal`) and what is deducted from it (`Prices`).

use crate::settings::model::{CostWeights, ObjectiveWeights};
use serde::Deserialize;

/// What is deducted from the objective.
#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct PricesSchema {
    probe: f64,
    cross_zone: f64,
    waste: f64,
    late_fail: f64,
    connection: f64,
    handshake: f64,
}

impl From<&PricesSchema> for CostWeights {
    fn from(schema: &PricesSchema) -> Self {
        CostWeights {
            health_check: schema.probe,
            cross_zone: schema.cross_zone,
            waste: schema.waste,
            late_failure: schema.late_fail,
            connections: schema.connection + schema.handshake,
        }
    }
}

/// The parts of the objective.
#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct GoalSchema {
    whole: f64,
    worst_class: f64,
    worst_tenant: f64,
    worst_window: f64,
}

impl From<&GoalSchema> for ObjectiveWeights {
    fn from(schema: &GoalSchema) -> Self {
        ObjectiveWeights {
            overall: schema.whole,
            worst_window: schema.worst_window,
            worst_class: schema.worst_class,
            worst_tenant: schema.worst_tenant,
        }
    }
}
