//! Encoding replies.

use super::NodeId;
use super::codes::{ActionCode, timer_token};
use super::layout::{ACTION_SIZE, REPLY_HEADER_SIZE};
use ottertiller_balancer::{Action, EndpointId};
use std::time::Duration;

/// The reply to one batch, under construction.
#[derive(Default)]
pub(crate) struct Reply {
    /// The number of records.
    record_count: u32,
    /// The records, of which the last may be unfinished.
    records: Vec<u8>,
    /// The bytes that records point to.
    tail: Vec<u8>,
}

impl Reply {
    /// Adds a record for an action of a node.
    pub(crate) fn push(&mut self, node: NodeId, action: &Action) {
        match action {
            Action::Fail { id } => self.record(ActionCode::Fail, node).u64(id.0),
            Action::HealthCheck { endpoint } => self
                .record(ActionCode::HealthCheck, node)
                .endpoint(*endpoint),
            Action::SetTimer { after, timer } => self
                .record(ActionCode::SetTimer, node)
                .millis(*after)
                .u64(timer_token(*timer)),
            Action::CancelAttempt { id, attempt } => self
                .record(ActionCode::CancelAttempt, node)
                .u64(id.0)
                .u8(*attempt as u8),
            Action::Subscribe { enabled } => self
                .record(ActionCode::Subscribe, node)
                .u8((*enabled).into()),
            Action::Shed { id, retry_after } => {
                let retry_after = retry_after.unwrap_or_default();
                self.record(ActionCode::Shed, node)
                    .u64(id.0)
                    .millis(retry_after)
            }
            Action::StartAttempt {
                id,
                endpoint,
                timeout,
            } => {
                let record = self.record(ActionCode::StartAttempt, node);
                record.u64(id.0).endpoint(*endpoint).millis(*timeout)
            }
        };
        self.close_record();
    }

    /// Adds a record that says that the decisions of a node panicked.
    pub(crate) fn push_fault(&mut self, node: NodeId, message: &str) {
        self.record(ActionCode::Fault, node)
            .in_tail(message.as_bytes());
        self.close_record();
    }

    /// Returns the frame of the reply to the batch of this number.
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

    /// Starts a record.
    fn record(&mut self, code: ActionCode, node: NodeId) -> &mut Self {
        self.u8(code as u8).u16(node.0)
    }

    /// Fills the record that was started with zeros to its size.
    fn close_record(&mut self) {
        self.record_count += 1;
        self.records
            .resize(self.record_count as usize * ACTION_SIZE, 0);
    }

    /// Adds bytes to the tail, and a pointer to them to the record.
    fn in_tail(&mut self, bytes: &[u8]) -> &mut Self {
        let start = self.tail.len() as u32;
        self.tail.extend(bytes);
        self.u32(start).u32(bytes.len() as u32)
    }

    /// Adds bytes to the record.
    fn put(&mut self, bytes: &[u8]) -> &mut Self {
        self.records.extend(bytes);
        self
    }

    /// Adds an unsigned integer of 8 bits to the record.
    fn u8(&mut self, value: u8) -> &mut Self {
        self.put(&[value])
    }

    /// Adds an unsigned integer of 16 bits to the record.
    fn u16(&mut self, value: u16) -> &mut Self {
        self.put(&value.to_be_bytes())
    }

    /// Adds an unsigned integer of 32 bits to the record.
    fn u32(&mut self, value: u32) -> &mut Self {
        self.put(&value.to_be_bytes())
    }

    /// Adds an unsigned integer of 64 bits to the record.
    fn u64(&mut self, value: u64) -> &mut Self {
        self.put(&value.to_be_bytes())
    }

    /// Adds a time in milliseconds to the record, in steps of a microsecond.
    fn millis(&mut self, value: Duration) -> &mut Self {
        self.put(&(value.as_micros() as f64 / 1000.0).to_be_bytes())
    }

    /// Adds an endpoint to the record: four bytes of address and two of port.
    fn endpoint(&mut self, endpoint: EndpointId) -> &mut Self {
        self.u32((endpoint.0 >> 16) as u32).u16(endpoint.0 as u16)
    }
}
