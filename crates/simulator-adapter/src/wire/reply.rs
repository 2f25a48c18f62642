//! Encodes replies.

use super::NodeId;
use super::codes::{ActionCode, encode_timer};
use super::layout::{ACTION_SIZE, REPLY_HEADER_SIZE};
use ottertiller_balancer::{Action, EndpointId};
use std::time::Duration;

/// The reply to one batch, under construction.
#[derive(Default)]
pub(crate) struct Reply {
    /// The number of records.
    record_count: u32,
    /// The encoded records. The last one is incomplete until `finish_record` is called.
    records: Vec<u8>,
    /// The data of variable length that records refer to.
    tail: Vec<u8>,
}

impl Reply {
    /// Adds a record for an action of a node.
    pub(crate) fn push(&mut self, node: NodeId, action: &Action) {
        match action {
            Action::Fail { id } => self.start_record(ActionCode::Fail, node).u64(id.0),
            Action::HealthCheck { endpoint } => self
                .start_record(ActionCode::HealthCheck, node)
                .endpoint(*endpoint),
            Action::SetTimer { after, timer } => self
                .start_record(ActionCode::SetTimer, node)
                .millis(*after)
                .u64(encode_timer(*timer)),
            Action::CancelAttempt { id, attempt } => self
                .start_record(ActionCode::CancelAttempt, node)
                .u64(id.0)
                .u8(*attempt as u8),
            Action::Subscribe { enabled } => self
                .start_record(ActionCode::Subscribe, node)
                .u8((*enabled).into()),
            Action::Shed { id, retry_after } => {
                let retry_after = retry_after.unwrap_or_default();
                self.start_record(ActionCode::Shed, node)
                    .u64(id.0)
                    .millis(retry_after)
            }
            Action::StartAttempt {
                id,
                endpoint,
                timeout,
            } => {
                let record = self.start_record(ActionCode::StartAttempt, node);
                record.u64(id.0).endpoint(*endpoint).millis(*timeout)
            }
        };
        self.finish_record();
    }

    /// Adds a record that reports that the balancer of a node panicked.
    pub(crate) fn push_fault(&mut self, node: NodeId, message: &str) {
        self.start_record(ActionCode::Fault, node)
            .tail_bytes(message.as_bytes());
        self.finish_record();
    }

    /// Returns the encoded frame of the reply to the batch with the number `batch`.
    pub(crate) fn into_frame(mut self, batch: u32) -> Vec<u8> {
        let length = self.records.len() + self.tail.len();
        let mut frame = Vec::with_capacity(REPLY_HEADER_SIZE + length);
        frame.extend(batch.to_be_bytes());
        frame.extend((length as u32).to_be_bytes());
        frame.extend(self.record_count.to_be_bytes());
        frame.append(&mut self.records);
        frame.append(&mut self.tail);
        frame
    }

    /// Starts a record with its code and node.
    fn start_record(&mut self, code: ActionCode, node: NodeId) -> &mut Self {
        self.u8(code as u8).u16(node.0)
    }

    /// Pads the current record with zeros to [`ACTION_SIZE`].
    fn finish_record(&mut self) {
        self.record_count += 1;
        self.records
            .resize(self.record_count as usize * ACTION_SIZE, 0);
    }

    /// Adds bytes to the tail, and their offset and length to the record.
    fn tail_bytes(&mut self, bytes: &[u8]) -> &mut Self {
        let start = self.tail.len() as u32;
        self.tail.extend(bytes);
        self.u32(start).u32(bytes.len() as u32)
    }

    /// Adds bytes to the record.
    fn bytes(&mut self, bytes: &[u8]) -> &mut Self {
        self.records.extend(bytes);
        self
    }

    /// Adds an unsigned 8-bit integer to the record.
    fn u8(&mut self, value: u8) -> &mut Self {
        self.bytes(&[value])
    }

    /// Adds an unsigned 16-bit integer to the record.
    fn u16(&mut self, value: u16) -> &mut Self {
        self.bytes(&value.to_be_bytes())
    }

    /// Adds an unsigned 32-bit integer to the record.
    fn u32(&mut self, value: u32) -> &mut Self {
        self.bytes(&value.to_be_bytes())
    }

    /// Adds an unsigned 64-bit integer to the record.
    fn u64(&mut self, value: u64) -> &mut Self {
        self.bytes(&value.to_be_bytes())
    }

    /// Adds a duration to the record, in milliseconds rounded down to whole microseconds.
    fn millis(&mut self, value: Duration) -> &mut Self {
        self.bytes(&(value.as_micros() as f64 / 1000.0).to_be_bytes())
    }

    /// Adds an endpoint id to the record: a 4-byte IPv4 address and a 2-byte port.
    fn endpoint(&mut self, endpoint: EndpointId) -> &mut Self {
        self.u32((endpoint.0 >> 16) as u32).u16(endpoint.0 as u16)
    }
}
