//! The errors that end the adapter: failed input or output, and input that violates the protocol.
//!
//! The text of each error describes its own layer only.
//! [`ErrorChain`](ottertiller_error_chain::ErrorChain) appends the texts of its sources.

use crate::wire::MAX_LOAD_REPORT_VALUES;
use crate::wire::layout::BATCH_HEADER_SIZE;
use ottertiller_balancer::SettingsError;
use std::io;
use thiserror::Error;

/// The reason why the adapter stopped.
#[derive(Debug, Error)]
pub(crate) enum AdapterError {
    /// Standard input cannot be read.
    #[error("cannot read standard input")]
    Read(#[source] io::Error),
    /// Standard output cannot be written.
    #[error("cannot write standard output")]
    Write(#[source] io::Error),
    /// The input ended within the header of a batch.
    #[error("batch header truncated: received {received} of {BATCH_HEADER_SIZE} bytes")]
    TruncatedHeader {
        /// The number of header bytes received.
        received: usize,
    },
    /// A batch as a whole violates the protocol.
    #[error("batch {batch}")]
    Batch {
        /// The batch number from its header.
        batch: u32,
        /// The violation.
        source: BatchError,
    },
    /// A record of a batch violates the protocol.
    #[error("batch {batch}: record {record}")]
    Record {
        /// The batch number from its header.
        batch: u32,
        /// The index of the record in its batch, from 0.
        record: usize,
        /// The violation.
        source: RecordError,
    },
}

/// A protocol violation by a batch as a whole.
#[derive(Debug, PartialEq, Error)]
pub(crate) enum BatchError {
    /// The input ended within the body of the batch.
    #[error("body truncated: received {received} of {length} bytes")]
    Truncated {
        /// The number of body bytes received.
        received: usize,
        /// The length of the body that the header declares, in bytes.
        length: usize,
    },
    /// The records that the header declares are longer than the body.
    #[error("{count} records do not fit in {length} bytes")]
    TooManyRecords {
        /// The number of records that the header declares.
        count: usize,
        /// The length of the body that the header declares, in bytes.
        length: usize,
    },
    /// The clock is infinite or NaN.
    #[error("clock is not a finite number")]
    ClockNotFinite,
}

/// A protocol violation by a record.
#[derive(Debug, Error)]
pub(crate) enum RecordError {
    /// The protocol has no event with this code.
    #[error("unknown event code {0}")]
    UnknownEventCode(u8),
    /// The protocol has no kind of endpoint list with this code.
    #[error("unknown list kind {0}")]
    UnknownListKind(u8),
    /// The protocol has no outcome with this code.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u8),
    /// The protocol has no endpoint state with this code.
    #[error("unknown endpoint state {0}")]
    UnknownEndpointState(u8),
    /// A load report has more than [`MAX_LOAD_REPORT_VALUES`] values.
    #[error("load report has {0} values, but the maximum is {MAX_LOAD_REPORT_VALUES}")]
    TooManyReportValues(usize),
    /// A field refers to bytes outside the tail of its batch.
    #[error("{field}: {count} x {size} bytes at offset {start} exceed the tail of {tail} bytes")]
    OutsideTail {
        /// The name of the data that the field refers to.
        field: &'static str,
        /// The offset of the first byte from the start of the tail.
        start: usize,
        /// The number of elements.
        count: usize,
        /// The size of an element in bytes.
        size: usize,
        /// The size of the tail in bytes.
        tail: usize,
    },
    /// The record or the list entry ends before or within a field.
    #[error(transparent)]
    Truncated(#[from] TruncatedField),
    /// The settings of a node are invalid.
    #[error("invalid settings")]
    Settings(#[from] SettingsError),
}

/// A field that is cut off by the end of its record or list entry.
#[derive(Debug, PartialEq, Error)]
#[error("field truncated: {remaining} of {size} bytes remain")]
pub(crate) struct TruncatedField {
    /// The size of the field in bytes.
    pub size: usize,
    /// The number of bytes that remain at the start of the field.
    pub remaining: usize,
}
