//! Decoding of batches. Frames are written in hexadecimal.

mod replies;

use super::layout::{ACTION_SIZE, ENTRY_SIZE, EVENT_SIZE};
use super::*;
use crate::error::{AdapterError, RecordError, TruncatedField};
use ottertiller_balancer::settings::{LoadReportColumn, millis};
use ottertiller_balancer::{
    Action, AttemptEnd, EndpointEntry, EndpointId, EndpointState, Event, HealthCheckEnd, ListKind,
    LoadReport, NewRequest, Outcome, RequestId, Timer,
};
use ottertiller_error_chain::ErrorChain;
use std::time::Duration;

/// Returns the bytes of a hexadecimal text, which may contain whitespace.
fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(|b| !b.is_ascii_whitespace()).collect();
    digits
        .chunks(2)
        .map(|pair| {
            u8::from_str_radix(std::str::from_utf8(pair).expect("text should be ASCII"), 16)
                .expect("text should be hexadecimal")
        })
        .collect()
}

/// Returns the bytes of a hexadecimal text, padded with zeros to `size`.
fn padded(text: &str, size: usize) -> Vec<u8> {
    let mut bytes = hex(text);
    bytes.resize(size, 0);
    bytes
}

/// Returns the frame of batch 12 at a clock of 8412.25 ms.
fn batch_frame(records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let mut frame = Vec::new();
    frame.extend(12u32.to_be_bytes());
    frame.extend((records.len() as u32).to_be_bytes());
    frame.extend(((records.len() * EVENT_SIZE + tail.len()) as u32).to_be_bytes());
    frame.extend(hex("40c06e2000000000"));
    records.iter().for_each(|record| frame.extend(record));
    frame.extend(tail);
    frame
}

/// Reads a batch and decodes its records.
fn read_records(frame: &[u8]) -> Result<Vec<Record>, AdapterError> {
    let batch = read_batch(&mut &frame[..])?.expect("input should hold a batch");
    let add_location = |(index, record): (usize, Result<Record, _>)| {
        record.map_err(|source| AdapterError::Record {
            batch: batch.number,
            record: index,
            source,
        })
    };
    batch.records().enumerate().map(add_location).collect()
}

/// Decodes a batch of one record.
fn read_record(record: &str, tail: &str) -> Record {
    read_records(&batch_frame(&[padded(record, EVENT_SIZE)], &hex(tail)))
        .expect("record should be valid")
        .remove(0)
}

/// Decodes the input of the only record of a batch.
fn read_input(record: &str, tail: &str) -> Input {
    read_record(record, tail).input
}

fn without_report(event: Event) -> Input {
    Input::Event {
        event,
        report: None,
    }
}

fn ms(ms: f64) -> Duration {
    millis(ms)
}

#[test]
fn empty_batch_gets_empty_reply() {
    let frame = hex("00000001 00000000 00000000 40c06e2000000000");
    let batch = read_batch(&mut &frame[..])
        .expect("batch should be valid")
        .expect("input should hold a batch");
    assert_eq!(
        (batch.number, batch.clock, batch.records().count()),
        (1, ms(8412.25), 0)
    );
    assert_eq!(
        Reply::default().into_frame(1),
        hex("00000001 00000000 00000000")
    );
}

#[test]
fn batch_for_two_nodes_is_decoded() {
    let records = [
        padded(
            "03 0003 000fb0475d3a91c4 0000 0000 91f03b7c55d20a64 406e000000000000 4028000000000000 01",
            EVENT_SIZE,
        ),
        padded("07 0003 000000000000004d", EVENT_SIZE),
        padded("06 0005 0004ed230e6f2b19", EVENT_SIZE),
    ];
    let frame = batch_frame(&records, &[]);
    assert_eq!(frame[..12], hex("0000000c 00000003 00000090"));
    let request = NewRequest {
        id: RequestId(0x000f_b047_5d3a_91c4),
        class: 0,
        tenant: 0,
        key: 0x91f0_3b7c_55d2_0a64,
        remaining: ms(240.0),
        cost_hint: Some(ms(12.0)),
        client_retry: false,
    };
    let disconnected = Event::ClientDisconnected {
        id: RequestId(0x0004_ed23_0e6f_2b19),
    };
    assert_eq!(
        read_records(&frame).expect("batch should be valid"),
        [
            Record {
                node: NodeId(3),
                input: without_report(Event::Request(request))
            },
            Record {
                node: NodeId(3),
                input: without_report(Event::Timer(Timer::Request(RequestId(0x4d))))
            },
            Record {
                node: NodeId(5),
                input: without_report(disconnected)
            },
        ]
    );
}

#[test]
fn endpoint_list_is_decoded() {
    let tail = "0a124a07 1b5b 00 00 0000 02 3f800000 0000000000000000
                0a9011f2 1b84 01 00 0000 02 3fc00000 40b7d40000000000";
    let input = read_input("02 0003 02 00000029 00000000 00000002", tail);
    let near = EndpointEntry {
        id: EndpointId(0x0a12_4a07_1b5b),
        zone: 0,
        machine_type: 0,
        cell: 0,
        state: EndpointState::Ready,
        weight: 1.0,
        started: None,
    };
    let far = EndpointEntry {
        id: EndpointId(0x0a90_11f2_1b84),
        zone: 1,
        weight: 1.5,
        started: Some(ms(6100.0)),
        ..near
    };
    let list = Event::EndpointList {
        kind: ListKind::Cached,
        entries: vec![near, far],
    };
    assert_eq!(input, without_report(list));
}

#[test]
fn end_of_attempt_is_decoded() {
    let input = read_input(
        "05 0003 000fb0475d3a91c4 00 0a124a07 1b5b 01 4032800000000000 01 00",
        "",
    );
    let end = AttemptEnd {
        id: RequestId(0x000f_b047_5d3a_91c4),
        attempt: 0,
        endpoint: EndpointId(0x0a12_4a07_1b5b),
        outcome: Outcome::Served,
        elapsed: ms(18.5),
        request_finished: true,
        report: None,
    };
    assert_eq!(input, without_report(Event::AttemptEnded(end)));
}

#[test]
fn load_report_values_are_assigned_by_columns() {
    let input = read_input(
        "08 0001 0a124a07 1b5b 01 3ff0000000000000 03 40400000 3f800000 3f000000",
        "",
    );
    let Input::Event {
        event: Event::HealthCheckEnded(end),
        report: Some(raw),
    } = input
    else {
        panic!("{input:?}")
    };
    let expected = HealthCheckEnd {
        endpoint: EndpointId(0x0a12_4a07_1b5b),
        outcome: Outcome::Served,
        elapsed: ms(1.0),
        report: None,
    };
    assert_eq!(end, expected);
    let report = raw.to_load_report(&[
        LoadReportColumn::InFlight,
        LoadReportColumn::Unknown,
        LoadReportColumn::Utilisation,
    ]);
    let expected = LoadReport {
        in_flight: Some(3.0),
        utilisation: Some(0.5),
        ..LoadReport::default()
    };
    assert_eq!(report, expected);
}

#[test]
fn start_stop_stream_start_and_peer_message_are_decoded() {
    let record = read_record("01 0007 0000000000000009 00000001 00000002", "ff7b7d");
    let input = Input::Start {
        seed: 9,
        settings: b"{}".to_vec(),
    };
    assert_eq!(
        record,
        Record {
            node: NodeId(7),
            input
        }
    );
    assert_eq!(read_input("0a 0007", ""), Input::Stop);
    let input = read_input(
        "04 0001 0000000000000005 4000000000000000 02 00000000 0007",
        "",
    );
    let started = Event::StreamStarted {
        id: RequestId(5),
        attempt: 2,
        endpoint: EndpointId(7),
    };
    assert_eq!(input, without_report(started));
    let input = read_input("09 0001 00000002 00000000 00000002", "6869");
    assert_eq!(input, Input::PeerMessage);
}

#[test]
fn error_names_batch_record_and_cause() {
    let valid = padded("0a 0001", EVENT_SIZE);
    let with = |invalid: &str| batch_frame(&[valid.clone(), padded(invalid, EVENT_SIZE)], b"tail");
    let cases = [
        (
            hex("00000001 0000"),
            "batch header truncated: received 6 of 20 bytes",
        ),
        (
            with("0a 0001")[..60].to_vec(),
            "batch 12: body truncated: received 40 of 100 bytes",
        ),
        (
            hex("0000000c 7fffffff 00000000 40c06e2000000000"),
            "batch 12: 2147483647 records do not fit",
        ),
        (
            hex("0000000c 00000000 00000000 7ff8000000000000"),
            "batch 12: clock is not a finite number",
        ),
        (with("0b 0001"), "batch 12: record 1: unknown event code 11"),
        (
            with("02 0001 04"),
            "batch 12: record 1: unknown list kind 4",
        ),
        (
            with("02 0001 01 00000001 00000000 ffffffff"),
            "batch 12: record 1: endpoint entries: 4294967295 x 23 bytes at offset",
        ),
        (
            with("09 0001 00000001 00000003 00000002"),
            "batch 12: record 1: peer message: 2 x 1 bytes at offset 3 exceed the tail of 4 bytes",
        ),
        (
            with("08 0001 00000000 0001 08"),
            "batch 12: record 1: unknown outcome 8",
        ),
        (
            with("08 0001 00000000 0001 01 0000000000000000 05"),
            "batch 12: record 1: load report has 5 values, but the maximum is 4",
        ),
    ];
    for (frame, expected) in cases {
        let error = read_records(&frame).expect_err(expected);
        let error = ErrorChain(&error).to_string();
        assert!(
            error.starts_with(expected),
            "{error:?} does not start with {expected:?}"
        );
    }
    let entry = padded("0a124a07 1b5b 00 00 0000 03", ENTRY_SIZE);
    let error = read_records(&batch_frame(
        &[padded("02 0001 01 00000001 00000000 00000001", EVENT_SIZE)],
        &entry,
    ));
    assert_eq!(
        ErrorChain(&error.expect_err("state 3 should be unknown")).to_string(),
        "batch 12: record 0: unknown endpoint state 3"
    );
}

#[test]
fn truncated_record_is_error() {
    let truncated = [
        "01 0001", "02 0001", "03 0001", "04 0001", "05 0001", "06 0001", "07 0001", "08 0001",
        "09 0001",
    ];
    for text in truncated {
        let error = Record::decode(&hex(text), &[]).expect_err(text);
        assert!(
            matches!(error, RecordError::Truncated(_)),
            "{text}: {error}"
        );
    }
    let error =
        Record::decode(&hex("07 0001 00000000"), &[]).expect_err("request id should be truncated");
    let expected = TruncatedField {
        size: 8,
        remaining: 4,
    };
    assert!(matches!(error, RecordError::Truncated(error) if error == expected));
}

#[test]
fn end_of_input_is_not_error() {
    assert!(
        read_batch(&mut &[][..])
            .expect("end of input should not be an error")
            .is_none()
    );
}

#[test]
fn ids_are_returned_unchanged() {
    let tail = "0a90ffff 1b84 02 00 0000 02 3f800000 0000000000000000";
    let input = read_input("02 0003 01 00000001 00000000 00000001", tail);
    let Input::Event {
        event: Event::EndpointList { entries, .. },
        report: None,
    } = input
    else {
        panic!("{input:?}")
    };
    let input = read_input(
        "03 0003 000fffffffffffff 0001 0002 0000000000000000 406e000000000000",
        "",
    );
    let Input::Event {
        event: Event::Request(new),
        report: None,
    } = input
    else {
        panic!("{input:?}")
    };
    assert_eq!((new.class, new.tenant, new.cost_hint), (1, 2, None));
    let mut reply = Reply::default();
    reply.push(
        NodeId(3),
        &Action::StartAttempt {
            id: new.id,
            endpoint: entries[0].id,
            timeout: new.remaining,
        },
    );
    let expected = padded(
        "4c 0003 000fffffffffffff 0a90ffff 1b84 406e000000000000",
        ACTION_SIZE,
    );
    assert_eq!(reply.into_frame(1)[12..], expected);
}
