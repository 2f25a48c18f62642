//! A class of requests (`Classes[]`).

use super::one;
use crate::settings::millis::millis;
use crate::settings::model::{Idempotency, IdempotencyScope, RequestClass};
use serde::Deserialize;

/// A class of requests.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ClassSchema {
    #[serde(default)]
    pub name: String,
    #[serde(default)]
    aim_stretch: f64,
    target: f64,
    give_up: f64,
    idempotency: IdempotencySchema,
    #[serde(default)]
    group: GroupSchema,
    #[serde(default)]
    late_worth: f64,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    window: f64,
    #[serde(default = "one")]
    credit: f64,
}

/// What a repeat of a request may do.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum IdempotencySchema {
    Free,
    Guarded,
    SingleShot,
}

/// The endpoints that share their idempotency keys.
#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum GroupSchema {
    #[default]
    All,
    Zone,
    Cell,
}

impl From<&ClassSchema> for RequestClass {
    fn from(schema: &ClassSchema) -> Self {
        RequestClass {
            latency_objective: millis(schema.target),
            objective_stretch: schema.aim_stretch,
            deadline: millis(schema.give_up),
            priority_weight: schema.credit,
            late_weight: schema.late_worth,
            idempotency: schema.idempotency(),
            streamed: schema.stream,
        }
    }
}

impl ClassSchema {
    fn idempotency(&self) -> Idempotency {
        match self.idempotency {
            IdempotencySchema::Free => Idempotency::Idempotent,
            IdempotencySchema::Guarded => Idempotency::Keyed {
                scope: (&self.group).into(),
                window: millis(self.window),
            },
            IdempotencySchema::SingleShot => Idempotency::NotIdempotent,
        }
    }
}

impl From<&GroupSchema> for IdempotencyScope {
    fn from(schema: &GroupSchema) -> Self {
        match schema {
            GroupSchema::All => IdempotencyScope::All,
            GroupSchema::Zone => IdempotencyScope::Zone,
            GroupSchema::Cell => IdempotencyScope::Cell,
        }
    }
}
