//! What a node knows of its endpoints' health and load.

pub mod active_check;
pub mod endpoint_health;
pub mod held_requests;
pub mod load_report;
pub mod observation;
pub mod outlier;
pub mod reported_load;
