//! The simulator's wire protocol. The simulator sends batches of events, and the adapter answers
//! each batch with one reply that carries actions.
//!
//! A batch or reply is one frame: a header, records of a fixed size, and a tail that holds the data
//! of variable length. Records refer to the tail by offset. All numbers are big-endian.

mod batch;
mod codes;
mod fields;
pub(crate) mod layout;
mod record;
mod reply;

pub(crate) use batch::{Batch, read_batch};
pub(crate) use record::{Input, MAX_LOAD_REPORT_VALUES, NodeId, RawLoadReport, Record};
pub(crate) use reply::Reply;

#[cfg(test)]
mod tests;
