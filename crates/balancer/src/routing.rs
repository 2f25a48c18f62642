//! Which endpoint a request goes to: Join-Up-To(m) over a subset of the endpoints, sparing those
//! that start.

pub(crate) mod join_up_to;
pub(crate) mod slow_start;
pub(crate) mod start_time;
pub(crate) mod starting_capacity;
pub(crate) mod subset;
