//! Reading the fields of a record, one after the other.

use ottertiller_balancer::EndpointId;
use ottertiller_balancer::settings::millis;
use std::time::Duration;

/// Reads big-endian fields from bytes that are known to hold them.
pub struct FieldReader<'a> {
    rest: &'a [u8],
}

impl<'a> FieldReader<'a> {
    /// Reads from the first byte on.
    pub fn new(bytes: &'a [u8]) -> Self {
        FieldReader { rest: bytes }
    }

    fn bytes<const N: usize>(&mut self) -> [u8; N] {
        let (field, rest) = self
            .rest
            .split_first_chunk()
            .expect("a record holds all its fields");
        self.rest = rest;
        *field
    }

    /// Passes over a field that the adapter has no use for.
    pub fn skip<const N: usize>(&mut self) {
        self.bytes::<N>();
    }

    /// The next unsigned integer of 8 bits.
    pub fn u8(&mut self) -> u8 {
        u8::from_be_bytes(self.bytes())
    }

    /// The next unsigned integer of 16 bits.
    pub fn u16(&mut self) -> u16 {
        u16::from_be_bytes(self.bytes())
    }

    /// The next unsigned integer of 32 bits.
    pub fn u32(&mut self) -> u32 {
        u32::from_be_bytes(self.bytes())
    }

    /// The next unsigned integer of 64 bits.
    pub fn u64(&mut self) -> u64 {
        u64::from_be_bytes(self.bytes())
    }

    /// The next number of single precision.
    pub fn f32(&mut self) -> f32 {
        f32::from_be_bytes(self.bytes())
    }

    /// The next number of double precision.
    pub fn f64(&mut self) -> f64 {
        f64::from_be_bytes(self.bytes())
    }

    /// A time in milliseconds.
    pub fn millis(&mut self) -> Duration {
        millis(self.f64())
    }

    /// Four bytes of address and a port, kept together as one number.
    pub fn endpoint(&mut self) -> EndpointId {
        let address = u64::from(self.u32());
        let port = u64::from(self.u16());
        EndpointId(address << 16 | port)
    }
}
