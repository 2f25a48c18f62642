//! Endpoint selection: Join-Up-To(m) over a subset of the endpoints, and slow start for endpoints
//! that have just started.

pub(crate) mod join_up_to;
pub(crate) mod slow_start;
pub(crate) mod start_time;
pub(crate) mod starting_capacity;
pub(crate) mod subset;
