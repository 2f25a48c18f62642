//! What a node knows of its endpoints' health and load.

pub(crate) mod active_check;
pub(crate) mod observation;
pub(crate) mod outlier_ejection;
