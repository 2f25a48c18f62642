//! Which endpoint a request goes to: Join-Up-To(m) over a subset of the endpoints, sparing those
//! that start.

pub mod join_up_to;
pub mod slow_start;
pub mod start_time;
pub mod starting_capacity;
pub mod subset;
