//! The schema of the parameters of rules that hold without exception (`Rules`).

use crate::settings::millis::millis;
use crate::settings::model::Rules;
use serde::Deserialize;

/// The parameters of the rules.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct RulesSchema {
    must_ask_in: f64,
    cold_from: f64,
    drain_grace: f64,
    overload_factor: f64,
    ramp_time: f64,
    tip_after: f64,
}

impl Default for RulesSchema {
    fn default() -> Self {
        RulesSchema {
            must_ask_in: 10_000.0,
            cold_from: 1.0,
            drain_grace: 0.0,
            overload_factor: 1.0,
            ramp_time: 0.0,
            tip_after: 1000.0,
        }
    }
}

impl From<&RulesSchema> for Rules {
    fn from(schema: &RulesSchema) -> Self {
        Rules {
            drain_grace: millis(schema.drain_grace),
            initial_capacity: schema.cold_from,
            slow_start_window: millis(schema.ramp_time),
            overload_factor: schema.overload_factor,
            overload_window: millis(schema.tip_after),
            poll_interval: millis(schema.must_ask_in),
        }
    }
}
