//! What a node knows of its endpoints' health and load.

pub mod active_check;
pub mod observation;
pub mod outlier_ejection;
