//! What ends the adapter: input and output that fail, and input that breaks the protocol.

use crate::wire::layout::BATCH_HEADER_SIZE;
use ottertiller_balancer::SettingsError;
use std::io;
use thiserror::Error;

/// Why the adapter stopped.
#[derive(Debug, Error)]
pub enum AdapterError {
    #[error("cannot read: {0}")]
    Read(#[source] io::Error),
    #[error("cannot write: {0}")]
    Write(#[source] io::Error),
    #[error("batch header: {received} of {BATCH_HEADER_SIZE} bytes")]
    TruncatedHeader { received: usize },
    #[error("batch {batch}: {cause}")]
    Batch {
        batch: u32,
        #[source]
        cause: BatchError,
    },
    #[error("batch {batch}: record {record}: {cause}")]
    Record {
        batch: u32,
        record: usize,
        #[source]
        cause: RecordError,
    },
}

/// What is wrong with a batch as a whole.
#[derive(Debug, PartialEq, Error)]
pub enum BatchError {
    #[error("{received} of {length} bytes")]
    Truncated { received: usize, length: usize },
    #[error("{count} records do not fit in {length} bytes")]
    TooManyRecords { count: usize, length: usize },
    #[error("the clock is no number")]
    ClockNotFinite,
}

/// What is wrong with a record.
#[derive(Debug, Error)]
pub enum RecordError {
    #[error("unknown event code {0}")]
    UnknownEventCode(u8),
    #[error("unknown list kind {0}")]
    UnknownListKind(u8),
    #[error("unknown outcome {0}")]
    UnknownOutcome(u8),
    #[error("unknown endpoint state {0}")]
    UnknownEndpointState(u8),
    #[error("a load report of {0} values")]
    TooManyReportValues(usize),
    #[error("{field}: points to {count} x {size} bytes at {start} of a tail of {tail}")]
    OutsideTail {
        field: &'static str,
        start: usize,
        count: usize,
        size: usize,
        tail: usize,
    },
    #[error("bad settings: {0}")]
    Settings(#[from] SettingsError),
}
