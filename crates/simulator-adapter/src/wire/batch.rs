//! Reading batches.

use super::fields::FieldReader;
use super::layout::{BATCH_HEADER_SIZE, EVENT_SIZE};
use super::record::Record;
use crate::error::{AdapterError, BatchError, RecordError};
use ottertiller_balancer::settings::millis;
use std::io::Read;
use std::time::Duration;

/// A batch as it came in.
#[derive(Debug)]
pub struct Batch {
    /// The number that the reply repeats.
    pub number: u32,
    /// The simulator's clock, at which all its events occur.
    pub clock: Duration,
    record_count: usize,
    /// The records, and the tail that they point into.
    body: Vec<u8>,
}

/// Reads one batch; `None` at the end of the input.
pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, AdapterError> {
    let header = read_up_to(input, BATCH_HEADER_SIZE)?;
    if header.is_empty() {
        return Ok(None);
    }
    if header.len() < BATCH_HEADER_SIZE {
        return Err(AdapterError::TruncatedHeader {
            received: header.len(),
        });
    }
    let mut fields = FieldReader::new(&header);
    let number = fields.u32();
    let count = fields.u32() as usize;
    let length = fields.u32() as usize;
    let clock = fields.f64();
    let failed = |cause| AdapterError::Batch {
        batch: number,
        cause,
    };
    if !clock.is_finite() {
        return Err(failed(BatchError::ClockNotFinite));
    }
    let body = read_up_to(input, length)?;
    if body.len() < length {
        return Err(failed(BatchError::Truncated {
            received: body.len(),
            length,
        }));
    }
    if count
        .checked_mul(EVENT_SIZE)
        .is_none_or(|records| records > length)
    {
        return Err(failed(BatchError::TooManyRecords { count, length }));
    }
    Ok(Some(Batch {
        number,
        clock: millis(clock),
        record_count: count,
        body,
    }))
}

/// Reads so many bytes, or less at the end of the input. The length is only a claim: memory grows
/// with what has really arrived.
fn read_up_to(input: &mut impl Read, length: usize) -> Result<Vec<u8>, AdapterError> {
    let mut bytes = Vec::new();
    input
        .by_ref()
        .take(length as u64)
        .read_to_end(&mut bytes)
        .map_err(AdapterError::Read)?;
    Ok(bytes)
}

impl Batch {
    /// The records in order.
    pub fn records(&self) -> impl Iterator<Item = Result<Record, RecordError>> + '_ {
        let (records, tail) = self.body.split_at(self.record_count * EVENT_SIZE);
        records
            .chunks_exact(EVENT_SIZE)
            .map(move |record| Record::decode(record, tail))
    }
}
