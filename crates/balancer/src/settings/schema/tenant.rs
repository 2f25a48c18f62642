//! The schema of a tenant (`Projects[]`).

use crate::settings::model::Tenant;
use serde::Deserialize;

/// A tenant and its quota.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct TenantSchema {
    #[serde(default)]
    pub name: String,
    #[serde(default)]
    allowance_per_s: f64,
    #[serde(default)]
    share: f64,
}

impl From<&TenantSchema> for Tenant {
    fn from(schema: &TenantSchema) -> Self {
        Tenant {
            quota_per_s: schema.allowance_per_s,
            quota_share: schema.share,
        }
    }
}
