//! The sizes of what is on the wire, in bytes.

/// The header of a batch: its number, the count of its records, the length of all that follows, and
/// the clock.
pub(crate) const BATCH_HEADER_SIZE: usize = 20;
/// The header of a reply: the batch's number, the length of all that follows, and the count of its
/// records.
pub(crate) const REPLY_HEADER_SIZE: usize = 12;
/// A record of a batch.
pub(crate) const EVENT_SIZE: usize = 48;
/// A record of a reply.
pub(crate) const ACTION_SIZE: usize = 32;
/// An entry of an endpoint list, in the tail.
pub(crate) const ENTRY_SIZE: usize = 23;
