//! Decoding the records of a batch.

use super::codes::{EventCode, endpoint_state, list_kind, outcome, timer};
use super::fields::FieldReader;
use super::layout::ENTRY_SIZE;
use crate::error::{FieldError, RecordError};
use ottertiller_balancer::settings::{LoadReportColumn, millis};
use ottertiller_balancer::{
    AttemptEnd, EndpointEntry, Event, HealthCheckEnd, LoadReport, NewRequest, RequestId,
};

/// The flag of a request with a cost hint.
const HAS_COST_HINT: u8 = 1;
/// The flag of a request that its client sends again.
const IS_CLIENT_RETRY: u8 = 2;

/// The values that a load report has at most.
const REPORT_VALUES: usize = 4;

/// The number of a node in the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct NodeId(pub u16);

/// A record of a batch.
#[derive(Debug, PartialEq)]
pub(crate) struct Record {
    /// The node that it is for.
    pub node: NodeId,
    /// What it says.
    pub input: Input,
}

/// What a record says.
#[derive(Debug, PartialEq)]
pub(crate) enum Input {
    /// The node starts.
    Start {
        /// The seed of its random numbers.
        seed: u64,
        /// The text of its settings file.
        settings: Vec<u8>,
    },
    /// The node has been killed.
    Stop,
    /// A message from another node, which no decision uses.
    PeerMessage,
    /// An event for the balancer. The report, if any, still needs the columns of the node.
    Event {
        /// The event, without its load report.
        event: Event,
        /// The load report of an attempt or a health check.
        report: Option<RawLoadReport>,
    },
}

/// A load report whose values have no names yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RawLoadReport {
    /// The values, of which the first `count` are used.
    values: [f32; REPORT_VALUES],
    /// The number of values.
    count: usize,
}

impl RawLoadReport {
    /// Returns the report with the values in the fields that the node's columns name.
    pub(crate) fn named(&self, columns: &[LoadReportColumn]) -> LoadReport {
        let mut report = LoadReport::default();
        for (column, value) in columns.iter().zip(&self.values[..self.count]) {
            column.set(&mut report, *value);
        }
        report
    }

    /// Decodes a report; returns `None` for one without values.
    fn decode(fields: &mut FieldReader) -> Result<Option<Self>, RecordError> {
        let count = usize::from(fields.u8()?);
        if count > REPORT_VALUES {
            return Err(RecordError::TooManyReportValues(count));
        }
        let mut values = [0.0; REPORT_VALUES];
        for value in &mut values {
            *value = fields.f32()?;
        }
        Ok((count > 0).then_some(RawLoadReport { values, count }))
    }
}

impl Record {
    /// Decodes a record, which may point into the tail of its batch.
    ///
    /// # Errors
    ///
    /// Returns an error if the record breaks the protocol.
    pub(crate) fn decode(record: &[u8], tail: &[u8]) -> Result<Self, RecordError> {
        let mut fields = FieldReader::new(record);
        let code = fields.u8()?;
        let node = NodeId(fields.u16()?);
        let input = Input::decode(EventCode::try_from(code)?, &mut fields, tail)?;
        Ok(Record { node, input })
    }
}

impl Input {
    /// Decodes the fields that follow the code and the node.
    fn decode(code: EventCode, fields: &mut FieldReader, tail: &[u8]) -> Result<Self, RecordError> {
        match code {
            EventCode::Start => {
                let seed = fields.u64()?;
                let settings = bytes_in_tail("settings", fields, tail)?;
                Ok(Input::Start { seed, settings })
            }
            EventCode::Stop => Ok(Input::Stop),
            EventCode::EndpointList => endpoint_list(fields, tail).map(Input::without_report),
            EventCode::Request => Ok(Input::without_report(request(fields)?)),
            EventCode::StreamStarted => Ok(Input::without_report(stream_started(fields)?)),
            EventCode::AttemptEnded => attempt_ended(fields),
            EventCode::ClientDisconnected => Ok(Input::without_report(Event::ClientDisconnected {
                id: RequestId(fields.u64()?),
            })),
            EventCode::Timer => Ok(Input::without_report(Event::Timer(timer(fields.u64()?)))),
            EventCode::HealthCheckEnded => health_check_ended(fields),
            EventCode::PeerMessage => {
                fields.skip::<4>()?; // the sender
                slice_of_tail("peer message", fields, tail, 1)?;
                Ok(Input::PeerMessage)
            }
        }
    }

    /// Returns the input of an event that has no load report.
    fn without_report(event: Event) -> Self {
        Input::Event {
            event,
            report: None,
        }
    }
}

/// Decodes an endpoint list, whose entries are in the tail.
fn endpoint_list(fields: &mut FieldReader, tail: &[u8]) -> Result<Event, RecordError> {
    let kind = list_kind(fields.u8()?)?;
    fields.skip::<4>()?; // the version of the list
    let entries = slice_of_tail("endpoint entries", fields, tail, ENTRY_SIZE)?
        .chunks_exact(ENTRY_SIZE)
        .map(endpoint_entry)
        .collect::<Result<_, _>>()?;
    Ok(Event::EndpointList { kind, entries })
}

/// Decodes an entry of an endpoint list.
fn endpoint_entry(entry: &[u8]) -> Result<EndpointEntry, RecordError> {
    let mut fields = FieldReader::new(entry);
    let id = fields.endpoint()?;
    let zone = fields.u8()?;
    let machine_type = fields.u8()?;
    let cell = fields.u16()?;
    let state = endpoint_state(fields.u8()?)?;
    let weight = fields.f32()?;
    // 0 stands for long ago.
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
fn request(fields: &mut FieldReader) -> Result<Event, FieldError> {
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
        cost_hint: (flags & HAS_COST_HINT != 0).then(|| millis(cost_hint)),
        client_retry: flags & IS_CLIENT_RETRY != 0,
    }))
}

/// Decodes the start of a streamed response.
fn stream_started(fields: &mut FieldReader) -> Result<Event, FieldError> {
    let id = RequestId(fields.u64()?);
    fields.skip::<8>()?; // the time since the request was issued
    let attempt = fields.u8()?.into();
    let endpoint = fields.endpoint()?;
    Ok(Event::StreamStarted {
        id,
        attempt,
        endpoint,
    })
}

/// Decodes the end of an attempt.
fn attempt_ended(fields: &mut FieldReader) -> Result<Input, RecordError> {
    let end = AttemptEnd {
        id: RequestId(fields.u64()?),
        attempt: fields.u8()?.into(),
        endpoint: fields.endpoint()?,
        outcome: outcome(fields.u8()?)?,
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
fn health_check_ended(fields: &mut FieldReader) -> Result<Input, RecordError> {
    let end = HealthCheckEnd {
        endpoint: fields.endpoint()?,
        outcome: outcome(fields.u8()?)?,
        elapsed: fields.millis()?,
        report: None,
    };
    let report = RawLoadReport::decode(fields)?;
    Ok(Input::Event {
        event: Event::HealthCheckEnded(end),
        report,
    })
}

/// Reads a pointer into the tail, and returns a copy of the bytes that it points to.
fn bytes_in_tail(
    field: &'static str,
    fields: &mut FieldReader,
    tail: &[u8],
) -> Result<Vec<u8>, RecordError> {
    slice_of_tail(field, fields, tail, 1).map(<[u8]>::to_vec)
}

/// Reads a pointer into the tail, and returns the elements of `size` bytes that it points to.
fn slice_of_tail<'a>(
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
