//! The sizes of what is on the wire, in bytes.

/// Number, count of records, length of all that follows, clock.
pub const BATCH_HEADER_SIZE: usize = 20;
/// Number, length of all that follows, count of records.
pub const REPLY_HEADER_SIZE: usize = 12;
/// A record of a batch.
pub const EVENT_SIZE: usize = 48;
/// A record of a reply.
pub const ACTION_SIZE: usize = 32;
/// An entry of an endpoint list, in the tail.
pub const ENTRY_SIZE: usize = 23;
