//! Reads the fields of a record in sequence.

use crate::error::TruncatedField;
use ottertiller_balancer::EndpointId;
use ottertiller_balancer::settings::millis;
use std::time::Duration;

/// Reads big-endian fields from a byte slice.
///
/// Each method returns the next field, or a [`TruncatedField`] if the slice ends before or within it.
pub(super) struct FieldReader<'a> {
    /// The bytes that have not been read yet.
    remaining: &'a [u8],
}

impl<'a> FieldReader<'a> {
    /// Creates a reader at the first byte.
    pub(super) fn new(bytes: &'a [u8]) -> Self {
        FieldReader { remaining: bytes }
    }

    /// Reads a field of `N` bytes.
    fn bytes<const N: usize>(&mut self) -> Result<[u8; N], TruncatedField> {
        let (field, remaining) = self.remaining.split_first_chunk().ok_or(TruncatedField {
            size: N,
            remaining: self.remaining.len(),
        })?;
        self.remaining = remaining;
        Ok(*field)
    }

    /// Skips a field of `N` bytes.
    pub(super) fn skip<const N: usize>(&mut self) -> Result<(), TruncatedField> {
        self.bytes::<N>().map(|_| ())
    }

    /// Reads an unsigned 8-bit integer.
    pub(super) fn u8(&mut self) -> Result<u8, TruncatedField> {
        self.bytes().map(u8::from_be_bytes)
    }

    /// Reads an unsigned 16-bit integer.
    pub(super) fn u16(&mut self) -> Result<u16, TruncatedField> {
        self.bytes().map(u16::from_be_bytes)
    }

    /// Reads an unsigned 32-bit integer.
    pub(super) fn u32(&mut self) -> Result<u32, TruncatedField> {
        self.bytes().map(u32::from_be_bytes)
    }

    /// Reads an unsigned 64-bit integer.
    pub(super) fn u64(&mut self) -> Result<u64, TruncatedField> {
        self.bytes().map(u64::from_be_bytes)
    }

    /// Reads a 32-bit floating-point number.
    pub(super) fn f32(&mut self) -> Result<f32, TruncatedField> {
        self.bytes().map(f32::from_be_bytes)
    }

    /// Reads a 64-bit floating-point number.
    pub(super) fn f64(&mut self) -> Result<f64, TruncatedField> {
        self.bytes().map(f64::from_be_bytes)
    }

    /// Reads a 32-bit offset, count or length.
    pub(super) fn size(&mut self) -> Result<usize, TruncatedField> {
        Ok(self.u32()? as usize)
    }

    /// Reads a duration, which is a 64-bit floating-point number of milliseconds.
    pub(super) fn millis(&mut self) -> Result<Duration, TruncatedField> {
        self.f64().map(millis)
    }

    /// Reads an endpoint id: a 4-byte IPv4 address and a 2-byte port, combined into one number.
    pub(super) fn endpoint(&mut self) -> Result<EndpointId, TruncatedField> {
        let address = u64::from(self.u32()?);
        let port = u64::from(self.u16()?);
        Ok(EndpointId(address << 16 | port))
    }
}
