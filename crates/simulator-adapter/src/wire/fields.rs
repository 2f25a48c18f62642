//! Reading the fields of a record, one after the other.

use crate::error::FieldError;
use ottertiller_balancer::EndpointId;
use ottertiller_balancer::settings::millis;
use std::time::Duration;

/// Reads big-endian fields from bytes.
///
/// Each method returns the next field, or a [`FieldError`] if the bytes end before its last one.
pub(super) struct FieldReader<'a> {
    /// The bytes that were not read yet.
    rest: &'a [u8],
}

impl<'a> FieldReader<'a> {
    /// Creates a reader that begins at the first byte.
    pub(super) fn new(bytes: &'a [u8]) -> Self {
        FieldReader { rest: bytes }
    }

    /// Reads a field of `N` bytes.
    fn bytes<const N: usize>(&mut self) -> Result<[u8; N], FieldError> {
        let (field, rest) = self.rest.split_first_chunk().ok_or(FieldError {
            size: N,
            rest: self.rest.len(),
        })?;
        self.rest = rest;
        Ok(*field)
    }

    /// Skips a field of `N` bytes.
    pub(super) fn skip<const N: usize>(&mut self) -> Result<(), FieldError> {
        self.bytes::<N>().map(|_| ())
    }

    /// Reads an unsigned integer of 8 bits.
    pub(super) fn u8(&mut self) -> Result<u8, FieldError> {
        self.bytes().map(u8::from_be_bytes)
    }

    /// Reads an unsigned integer of 16 bits.
    pub(super) fn u16(&mut self) -> Result<u16, FieldError> {
        self.bytes().map(u16::from_be_bytes)
    }

    /// Reads an unsigned integer of 32 bits.
    pub(super) fn u32(&mut self) -> Result<u32, FieldError> {
        self.bytes().map(u32::from_be_bytes)
    }

    /// Reads an unsigned integer of 64 bits.
    pub(super) fn u64(&mut self) -> Result<u64, FieldError> {
        self.bytes().map(u64::from_be_bytes)
    }

    /// Reads a number of single precision.
    pub(super) fn f32(&mut self) -> Result<f32, FieldError> {
        self.bytes().map(f32::from_be_bytes)
    }

    /// Reads a number of double precision.
    pub(super) fn f64(&mut self) -> Result<f64, FieldError> {
        self.bytes().map(f64::from_be_bytes)
    }

    /// Reads an offset or a count of 32 bits.
    pub(super) fn size(&mut self) -> Result<usize, FieldError> {
        Ok(self.u32()? as usize)
    }

    /// Reads a time in milliseconds.
    pub(super) fn millis(&mut self) -> Result<Duration, FieldError> {
        self.f64().map(millis)
    }

    /// Reads an endpoint: four bytes of address and two of port, kept together as one number.
    pub(super) fn endpoint(&mut self) -> Result<EndpointId, FieldError> {
        let address = u64::from(self.u32()?);
        let port = u64::from(self.u16()?);
        Ok(EndpointId(address << 16 | port))
    }
}
