//! What ends the adapter: input and output that fail, and input that breaks the protocol.
//!
//! The text of an error says what its own layer knows.
//! [`ErrorChain`](ottertiller_error_chain::ErrorChain) adds what its sources say.

use crate::wire::layout::BATCH_HEADER_SIZE;
use ottertiller_balancer::SettingsError;
use std::io;
use thiserror::Error;

/// Why the adapter stopped.
#[derive(Debug, Error)]
pub(crate) enum AdapterError {
    /// Standard input cannot be read.
    #[error("cannot read standard input")]
    Read(#[source] io::Error),
    /// Standard output cannot be written.
    #[error("cannot write standard output")]
    Write(#[source] io::Error),
    /// The input ended within the header of a batch.
    #[error("batch header: {received} of {BATCH_HEADER_SIZE} bytes")]
    TruncatedHeader {
        /// The bytes of the header that came.
        received: usize,
    },
    /// A batch as a whole breaks the protocol.
    #[error("batch {batch}")]
    Batch {
        /// The number in the batch's header.
        batch: u32,
        /// What is wrong with it.
        source: BatchError,
    },
    /// A record of a batch breaks the protocol.
    #[error("batch {batch}: record {record}")]
    Record {
        /// The number in the batch's header.
        batch: u32,
        /// The index of the record in its batch, from 0.
        record: usize,
        /// What is wrong with it.
        source: RecordError,
    },
}

/// What is wrong with a batch as a whole.
#[derive(Debug, PartialEq, Error)]
pub(crate) enum BatchError {
    /// The input ended within the batch.
    #[error("{received} of {length} bytes")]
    Truncated {
        /// The bytes that came after the header.
        received: usize,
        /// The bytes that the header claims.
        length: usize,
    },
    /// The records that the header claims are longer than the batch.
    #[error("{count} records do not fit in {length} bytes")]
    TooManyRecords {
        /// The records that the header claims.
        count: usize,
        /// The bytes that the header claims.
        length: usize,
    },
    /// The clock is infinite or not a number.
    #[error("the clock is no number")]
    ClockNotFinite,
}

/// What is wrong with a record.
#[derive(Debug, Error)]
pub(crate) enum RecordError {
    /// The protocol has no event of this code.
    #[error("unknown event code {0}")]
    UnknownEventCode(u8),
    /// The protocol has no kind of endpoint list of this code.
    #[error("unknown list kind {0}")]
    UnknownListKind(u8),
    /// The protocol has no outcome of this code.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u8),
    /// The protocol has no endpoint state of this code.
    #[error("unknown endpoint state {0}")]
    UnknownEndpointState(u8),
    /// A load report has more values than a record has room for.
    #[error("a load report of {0} values, more than a record holds")]
    TooManyReportValues(usize),
    /// A field points to bytes outside the tail of its batch.
    #[error("{field}: points to {count} x {size} bytes at {start} of a tail of {tail}")]
    OutsideTail {
        /// What the field points to.
        field: &'static str,
        /// The offset of the first byte in the tail.
        start: usize,
        /// The number of elements.
        count: usize,
        /// The bytes of an element.
        size: usize,
        /// The bytes of the tail.
        tail: usize,
    },
    /// The record or the list entry ends before a field.
    #[error(transparent)]
    Truncated(#[from] FieldError),
    /// A node's settings cannot be used.
    #[error("bad settings")]
    Settings(#[from] SettingsError),
}

/// A field that the bytes end before or within.
#[derive(Debug, PartialEq, Error)]
#[error("a field of {size} bytes where {rest} are left")]
pub(crate) struct FieldError {
    /// The bytes of the field.
    pub size: usize,
    /// The bytes that are left.
    pub rest: usize,
}
