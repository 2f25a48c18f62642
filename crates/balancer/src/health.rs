//! Endpoint health: active health checks, what attempts show about an endpoint, and outlier
//! ejection.

pub(crate) mod active_check;
pub(crate) mod observation;
pub(crate) mod outlier_ejection;
