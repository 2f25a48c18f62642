//! Reads batches from the input.

use super::fields::FieldReader;
use super::layout::{BATCH_HEADER_SIZE, EVENT_SIZE};
use super::record::Record;
use crate::error::{AdapterError, BatchError, RecordError, TruncatedField};
use ottertiller_balancer::settings::millis;
use std::io::Read;
use std::time::Duration;

/// A batch of records.
#[derive(Debug)]
pub(crate) struct Batch {
    /// The batch number, which the reply repeats.
    pub number: u32,
    /// The simulator's clock. All events of the batch occur at this time.
    pub clock: Duration,
    /// The number of records at the start of the body.
    record_count: usize,
    /// The records, followed by the tail that they refer to.
    body: Vec<u8>,
}

/// The header of a batch.
struct BatchHeader {
    /// The batch number, which the reply repeats.
    number: u32,
    /// The number of records.
    record_count: usize,
    /// The length of the records and the tail, in bytes.
    body_length: usize,
    /// The simulator's clock in milliseconds.
    clock: f64,
}

impl BatchHeader {
    /// Decodes a header of [`BATCH_HEADER_SIZE`] bytes.
    fn decode(bytes: &[u8]) -> Result<Self, TruncatedField> {
        let mut fields = FieldReader::new(bytes);
        Ok(BatchHeader {
            number: fields.u32()?,
            record_count: fields.size()?,
            body_length: fields.size()?,
            clock: fields.f64()?,
        })
    }

    /// Reads the body that follows the header.
    fn read_body(&self, input: &mut impl Read) -> Result<Vec<u8>, AdapterError> {
        let body = read_up_to(input, self.body_length)?;
        if body.len() < self.body_length {
            return Err(self.error(BatchError::Truncated {
                received: body.len(),
                length: self.body_length,
            }));
        }
        Ok(body)
    }

    /// Checks that the records fit in the body.
    fn check_record_count(&self) -> Result<(), AdapterError> {
        let length = self.record_count.checked_mul(EVENT_SIZE);
        if length.is_none_or(|length| length > self.body_length) {
            return Err(self.error(BatchError::TooManyRecords {
                count: self.record_count,
                length: self.body_length,
            }));
        }
        Ok(())
    }

    /// Returns an error with the number of this batch.
    fn error(&self, source: BatchError) -> AdapterError {
        AdapterError::Batch {
            batch: self.number,
            source,
        }
    }
}

/// Reads one batch. Returns `None` at the end of the input.
///
/// # Errors
///
/// Returns an error if the input cannot be read or ends within the batch, or if the header
/// violates the protocol.
pub(crate) fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, AdapterError> {
    let bytes = read_up_to(input, BATCH_HEADER_SIZE)?;
    if bytes.is_empty() {
        return Ok(None);
    }
    let header = BatchHeader::decode(&bytes).map_err(|_| AdapterError::TruncatedHeader {
        received: bytes.len(),
    })?;
    if !header.clock.is_finite() {
        return Err(header.error(BatchError::ClockNotFinite));
    }
    let body = header.read_body(input)?;
    header.check_record_count()?;
    Ok(Some(Batch {
        number: header.number,
        clock: millis(header.clock),
        record_count: header.record_count,
        body,
    }))
}

/// Reads `length` bytes, or fewer if the input ends. The buffer grows as bytes arrive, so that a
/// header with a false length does not make the adapter allocate that much memory.
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
    /// Decodes the records in order.
    pub(crate) fn records(&self) -> impl Iterator<Item = Result<Record, RecordError>> + '_ {
        let (records, tail) = self.body.split_at(self.record_count * EVENT_SIZE);
        records
            .chunks_exact(EVENT_SIZE)
            .map(move |record| Record::decode(record, tail))
    }
}
