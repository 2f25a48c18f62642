//! Decodes the records of a batch.

use super::codes::{
    EventCode, decode_endpoint_state, decode_list_kind, decode_outcome, decode_timer,
};
use super::fields::FieldReader;
use super::layout::ENTRY_SIZE;
use crate::error::{RecordError, TruncatedField};
use ottertiller_balancer::settings::{LoadReportColumn, millis};
use ottertiller_balancer::{
    AttemptEnd, EndpointEntry, Event, HealthCheckEnd, LoadReport, NewRequest, RequestId,
};

/// Set in the flags of a request that carries a cost hint.
const COST_HINT_FLAG: u8 = 1;
/// Set in the flags of a request that is a client's retry of its own earlier request.
const CLIENT_RETRY_FLAG: u8 = 2;

/// The maximum number of values in a load report.
pub(crate) const MAX_LOAD_REPORT_VALUES: usize = 4;

/// The number of a node in the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct NodeId(pub u16);

/// A record of a batch.
#[derive(Debug, PartialEq)]
pub(crate) struct Record {
    /// The node that the record is addressed to.
    pub node: NodeId,
    /// The content of the record.
    pub input: Input,
}

/// The content of a record.
#[derive(Debug, PartialEq)]
pub(crate) enum Input {
    /// Starts the node.
    Start {
        /// The seed of the node's random number generator.
        seed: u64,
        /// The text of the node's settings file.
        settings: Vec<u8>,
    },
    /// Stops the node, which the simulator has killed.
    Stop,
    /// A message from another node. The balancer does not use it.
    PeerMessage,
    /// An event for the balancer. Its load report is separate and raw: only the columns in the
    /// settings of the node name the values, and they are not known here.
    Event {
        /// The event. Its own `report`, if it has that field, is `None`.
        event: Event,
        /// The raw load report that came with an attempt or a health check, if any.
        report: Option<RawLoadReport>,
    },
}

/// A load report whose values have not been assigned to fields yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RawLoadReport {
    /// The values; only the first `count` are used.
    values: [f32; MAX_LOAD_REPORT_VALUES],
    /// The number of values.
    count: usize,
}

impl RawLoadReport {
    /// Assigns each value to the field that the column at the same position names.
    pub(crate) fn to_load_report(self, columns: &[LoadReportColumn]) -> LoadReport {
        let mut report = LoadReport::default();
        for (column, value) in columns.iter().zip(&self.values[..self.count]) {
            column.set(&mut report, *value);
        }
        report
    }

    /// Decodes a load report. Returns `None` if it has no values.
    ///
    /// The record has room for [`MAX_LOAD_REPORT_VALUES`] values, and all of them are read. Those
    /// after the first `count` are padding.
    fn decode(fields: &mut FieldReader) -> Result<Option<Self>, RecordError> {
        let count = usize::from(fields.u8()?);
        if count > MAX_LOAD_REPORT_VALUES {
            return Err(RecordError::TooManyReportValues(count));
        }
        let mut values = [0.0; MAX_LOAD_REPORT_VALUES];
        for value in &mut values {
            *value = fields.f32()?;
        }
        Ok((count > 0).then_some(RawLoadReport { values, count }))
    }
}

impl Record {
    /// Decodes a record. `tail` is the tail of its batch, which the record may refer to.
    ///
    /// # Errors
    ///
    /// Returns an error if the record violates the protocol.
    pub(crate) fn decode(record: &[u8], tail: &[u8]) -> Result<Self, RecordError> {
        let mut fields = FieldReader::new(record);
        let code = fields.u8()?;
        let node = NodeId(fields.u16()?);
        let input = Input::decode(EventCode::try_from(code)?, &mut fields, tail)?;
        Ok(Record { node, input })
    }
}

impl Input {
    /// Decodes the fields after the code and the node of a record.
    fn decode(code: EventCode, fields: &mut FieldReader, tail: &[u8]) -> Result<Self, RecordError> {
        match code {
            EventCode::Start => {
                let seed = fields.u64()?;
                let settings = read_tail_bytes("settings", fields, tail)?;
                Ok(Input::Start { seed, settings })
            }
            EventCode::Stop => Ok(Input::Stop),
            EventCode::EndpointList => {
                decode_endpoint_list(fields, tail).map(Input::without_report)
            }
            EventCode::Request => Ok(Input::without_report(decode_request(fields)?)),
            EventCode::StreamStarted => Ok(Input::without_report(decode_stream_started(fields)?)),
            EventCode::AttemptEnded => decode_attempt_ended(fields),
            EventCode::ClientDisconnected => Ok(Input::without_report(Event::ClientDisconnected {
                id: RequestId(fields.u64()?),
            })),
            EventCode::Timer => Ok(Input::without_report(Event::Timer(decode_timer(
                fields.u64()?,
            )))),
            EventCode::HealthCheckEnded => decode_health_check_ended(fields),
            EventCode::PeerMessage => {
                fields.skip::<4>()?; // sender
                read_tail_slice("peer message", fields, tail, 1)?;
                Ok(Input::PeerMessage)
            }
        }
    }

    /// Creates an input from an event that has no load report.
    fn without_report(event: Event) -> Self {
        Input::Event {
            event,
            report: None,
        }
    }
}

/// Decodes an endpoint list. Its entries are in the tail.
fn decode_endpoint_list(fields: &mut FieldReader, tail: &[u8]) -> Result<Event, RecordError> {
    let kind = decode_list_kind(fields.u8()?)?;
    fields.skip::<4>()?; // version of the list
    let entries = read_tail_slice("endpoint entries", fields, tail, ENTRY_SIZE)?
        .chunks_exact(ENTRY_SIZE)
        .map(decode_endpoint_entry)
        .collect::<Result<_, _>>()?;
    Ok(Event::EndpointList { kind, entries })
}

/// Decodes an entry of an endpoint list.
fn decode_endpoint_entry(entry: &[u8]) -> Result<EndpointEntry, RecordError> {
    let mut fields = FieldReader::new(entry);
    let id = fields.endpoint()?;
    let zone = fields.u8()?;
    let machine_type = fields.u8()?;
    let cell = fields.u16()?;
    let state = decode_endpoint_state(fields.u8()?)?;
    let weight = fields.f32()?;
    // 0 means that the endpoint started long ago.
    let started_ms = fields.f64()?;
    let started = (started_ms > 0.0).then(|| millis(started_ms));
    Ok(EndpointEntry {
        id,
        zone,
        machine_type,
        cell,
        state,
        weight,
        started,
    })
}

/// Decodes a new request.
fn decode_request(fields: &mut FieldReader) -> Result<Event, TruncatedField> {
    let id = RequestId(fields.u64()?);
    let class = fields.u16()?.into();
    let tenant = fields.u16()?.into();
    let key = fields.u64()?;
    let remaining = fields.millis()?;
    let cost_hint = fields.f64()?;
    let flags = fields.u8()?;
    Ok(Event::Request(NewRequest {
        id,
        class,
        tenant,
        key,
        remaining,
        cost_hint: (flags & COST_HINT_FLAG != 0).then(|| millis(cost_hint)),
        client_retry: flags & CLIENT_RETRY_FLAG != 0,
    }))
}

/// Decodes the start of a streamed response.
fn decode_stream_started(fields: &mut FieldReader) -> Result<Event, TruncatedField> {
    let id = RequestId(fields.u64()?);
    fields.skip::<8>()?; // time since the request was issued
    let attempt = fields.u8()?.into();
    let endpoint = fields.endpoint()?;
    Ok(Event::StreamStarted {
        id,
        attempt,
        endpoint,
    })
}

/// Decodes the end of an attempt.
fn decode_attempt_ended(fields: &mut FieldReader) -> Result<Input, RecordError> {
    let end = AttemptEnd {
        id: RequestId(fields.u64()?),
        attempt: fields.u8()?.into(),
        endpoint: fields.endpoint()?,
        outcome: decode_outcome(fields.u8()?)?,
        elapsed: fields.millis()?,
        request_finished: fields.u8()? != 0,
        report: None,
    };
    let report = RawLoadReport::decode(fields)?;
    Ok(Input::Event {
        event: Event::AttemptEnded(end),
        report,
    })
}

/// Decodes the end of a health check.
fn decode_health_check_ended(fields: &mut FieldReader) -> Result<Input, RecordError> {
    let end = HealthCheckEnd {
        endpoint: fields.endpoint()?,
        outcome: decode_outcome(fields.u8()?)?,
        elapsed: fields.millis()?,
        report: None,
    };
    let report = RawLoadReport::decode(fields)?;
    Ok(Input::Event {
        event: Event::HealthCheckEnded(end),
        report,
    })
}

/// Reads an offset and a length, and returns a copy of these bytes of the tail.
fn read_tail_bytes(
    field: &'static str,
    fields: &mut FieldReader,
    tail: &[u8],
) -> Result<Vec<u8>, RecordError> {
    read_tail_slice(field, fields, tail, 1).map(<[u8]>::to_vec)
}

/// Reads an offset and a count, and returns the slice of the tail that starts at the offset and
/// holds this many elements of `size` bytes.
fn read_tail_slice<'a>(
    field: &'static str,
    fields: &mut FieldReader,
    tail: &'a [u8],
    size: usize,
) -> Result<&'a [u8], RecordError> {
    let start = fields.size()?;
    let count = fields.size()?;
    let end = count
        .checked_mul(size)
        .and_then(|length| start.checked_add(length));
    end.and_then(|end| tail.get(start..end))
        .ok_or(RecordError::OutsideTail {
            field,
            start,
            count,
            size,
            tail: tail.len(),
        })
}
