//! The simulator's wire protocol: batches of events come in, one reply with actions goes out for each. All numbers are
//! big-endian. A frame has a header, records of a fixed size, and a tail that records point into.

mod batch;
mod codes;
mod fields;
mod record;
mod reply;

pub use batch::{Batch, read_batch};
pub use record::{Input, RawLoadReport, Record};
pub use reply::Reply;

/// Number, count of records, length of all that follows, clock.
pub const BATCH_HEADER_SIZE: usize = 20;
/// Number, length of all that follows, count of records.
const REPLY_HEADER_SIZE: usize = 12;
const EVENT_SIZE: usize = 48;
const ACTION_SIZE: usize = 32;
/// An entry of an endpoint list, in the tail.
const ENTRY_SIZE: usize = 23;

#[cfg(test)]
mod tests;
