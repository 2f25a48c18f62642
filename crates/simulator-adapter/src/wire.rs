//! The simulator's wire protocol: batches of events come in, one reply with actions goes out for
//! each. All numbers are big-endian. A frame has a header, records of a fixed size, and a tail that
//! records point into.

mod batch;
mod codes;
mod fields;
pub(crate) mod layout;
mod record;
mod reply;

pub(crate) use batch::{Batch, read_batch};
pub(crate) use record::{Input, NodeId, RawLoadReport, Record};
pub(crate) use reply::Reply;

#[cfg(test)]
mod tests;
