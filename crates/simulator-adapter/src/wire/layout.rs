//! The sizes of the protocol's headers, records and list entries, in bytes.

/// The header of a batch: its number, the number of records, the length of the body (records and
/// tail), and the clock.
pub(crate) const BATCH_HEADER_SIZE: usize = 20;
/// The header of a reply: the batch number, the length of the body (records and tail), and the
/// number of records.
pub(crate) const REPLY_HEADER_SIZE: usize = 12;
/// A record of a batch.
pub(crate) const EVENT_SIZE: usize = 48;
/// A record of a reply.
pub(crate) const ACTION_SIZE: usize = 32;
/// An entry of an endpoint list; entries are in the tail of a batch.
pub(crate) const ENTRY_SIZE: usize = 23;
