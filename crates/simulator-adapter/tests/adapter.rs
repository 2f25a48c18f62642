//! Tests of the adapter process: it answers complete frames with complete frames, and invalid input
//! with one error line.

use std::io::Write;
use std::process::{Command, Output, Stdio};

// Codes of the protocol's events and actions.
const START: u8 = 1;
const ENDPOINT_LIST: u8 = 2;
const REQUEST: u8 = 3;
const STOP: u8 = 10;
const SET_TIMER: u8 = 68;
const SHED: u8 = 75;
const START_ATTEMPT: u8 = 76;

// Sizes in bytes.
const EVENT_SIZE: usize = 48;
const ACTION_SIZE: usize = 32;
const REPLY_HEADER_SIZE: usize = 12;
const ENTRY_SIZE: usize = 23;

/// Valid settings. The members that the balancer does not know are ignored.
const SETTINGS: &str = r#"{"NInstances": 2, "Unknown": {"Nested": [1]}, "Classes": [{"Target": 400.0, "GiveUp": 1000.0,
    "Idempotency": "free", "UnknownMember": true}]}"#;

/// Runs the adapter on an input and returns its output.
fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_ottertiller-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("adapter should start");
    // The write fails if the adapter stops reading at invalid input.
    let stdin = child.stdin.take();
    let _ = stdin.expect("stdin should be piped").write_all(input);
    child
        .wait_with_output()
        .expect("adapter should exit at the end of its input")
}

/// A batch under construction.
struct Batch {
    count: u32,
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Batch {
    fn new() -> Self {
        Batch {
            count: 0,
            records: Vec::new(),
            tail: Vec::new(),
        }
    }

    /// Adds a record, padded with zeros.
    fn record(mut self, code: u8, node: u16, fields: &[&[u8]]) -> Self {
        let mut record = vec![code];
        record.extend(node.to_be_bytes());
        fields.iter().for_each(|field| record.extend(*field));
        record.resize(EVENT_SIZE, 0);
        self.records.extend(record);
        self.count += 1;
        self
    }

    /// Adds a start record, and its settings to the tail.
    fn start(mut self, node: u16, settings: &[u8]) -> Self {
        let offset = (self.tail.len() as u32).to_be_bytes();
        self.tail.extend(settings);
        self.record(
            START,
            node,
            &[
                &9u64.to_be_bytes(),
                &offset,
                &(settings.len() as u32).to_be_bytes(),
            ],
        )
    }

    /// Adds a snapshot of `endpoints` ready endpoints.
    fn snapshot(mut self, node: u16, endpoints: u16) -> Self {
        let offset = (self.tail.len() as u32).to_be_bytes();
        for number in 0..endpoints {
            let mut entry = vec![10, 0, 0, 1];
            entry.extend(number.to_be_bytes());
            entry.extend([0, 0, 0, 0, 2]);
            entry.resize(ENTRY_SIZE, 0);
            self.tail.extend(entry);
        }
        self.record(
            ENDPOINT_LIST,
            node,
            &[
                &[1],
                &1u32.to_be_bytes(),
                &offset,
                &u32::from(endpoints).to_be_bytes(),
            ],
        )
    }

    fn request(self, node: u16, id: u64) -> Self {
        let remaining = 900f64.to_be_bytes();
        self.record(REQUEST, node, &[&id.to_be_bytes(), &[0; 12], &remaining])
    }

    /// Returns the encoded frame. The clock is `number` x 10 ms.
    fn frame(self, number: u32) -> Vec<u8> {
        let mut frame = Vec::new();
        frame.extend(number.to_be_bytes());
        frame.extend(self.count.to_be_bytes());
        frame.extend(((self.records.len() + self.tail.len()) as u32).to_be_bytes());
        frame.extend((f64::from(number) * 10.0).to_be_bytes());
        frame.extend(self.records);
        frame.extend(self.tail);
        frame
    }
}

/// Returns the codes of the actions of each reply.
fn action_codes(output: &[u8]) -> Vec<Vec<u8>> {
    let read_u32 = |offset: usize| {
        let bytes = output[offset..offset + 4].try_into();
        u32::from_be_bytes(bytes.expect("slice should hold four bytes")) as usize
    };
    let (mut start, mut replies) = (0, Vec::new());
    while start < output.len() {
        let (length, count) = (read_u32(start + 4), read_u32(start + 8));
        replies.push(
            (0..count)
                .map(|i| output[start + REPLY_HEADER_SIZE + ACTION_SIZE * i])
                .collect(),
        );
        start += REPLY_HEADER_SIZE + length;
    }
    replies
}

#[test]
fn nodes_run_side_by_side_and_can_restart() {
    let settings = SETTINGS.as_bytes();
    let first = Batch::new()
        .start(1, settings)
        .snapshot(1, 2)
        .start(2, settings)
        .snapshot(2, 2)
        .frame(1);
    let requests = Batch::new().request(1, 5).request(2, 6).frame(2);
    // Node 1 restarts within one batch. The request for node 2 comes after its stop and is ignored.
    let restart = Batch::new()
        .record(STOP, 1, &[])
        .start(1, settings)
        .snapshot(1, 1)
        .request(1, 7)
        .record(STOP, 2, &[])
        .request(2, 8)
        .frame(3);
    let output = run(&[first, requests, restart, Batch::new().frame(4)].concat());
    assert!(output.status.success());
    let replies = action_codes(&output.stdout);
    assert_eq!(replies.len(), 4);
    let attempts = |reply: usize| {
        replies[reply]
            .iter()
            .filter(|code| **code == START_ATTEMPT)
            .count()
    };
    assert_eq!(
        (attempts(0), attempts(1), attempts(2), replies[3].len()),
        (0, 2, 1, 0)
    );
}

#[test]
fn megabyte_batch_gets_complete_reply() {
    let start = Batch::new()
        .start(1, SETTINGS.as_bytes())
        .snapshot(1, 40)
        .frame(1);
    let many = (0..25_000)
        .fold(Batch::new(), |batch, id| batch.request(1, id))
        .frame(2);
    assert!(many.len() > 1_000_000);
    let output = run(&[start, many].concat());
    assert!(output.status.success());
    let replies = action_codes(&output.stdout);
    // Each request is sent to an endpoint, shed, or queued with a timer.
    let decided = replies[1]
        .iter()
        .filter(|code| [START_ATTEMPT, SHED, SET_TIMER].contains(code))
        .count();
    assert!(decided >= 25_000);
}

#[test]
fn invalid_input_is_reported_in_one_line_without_partial_reply() {
    let valid = Batch::new()
        .start(1, SETTINGS.as_bytes())
        .snapshot(1, 2)
        .frame(1);
    let cases = [
        (
            valid[..30].to_vec(),
            "batch 1: body truncated: received 10 of",
        ),
        (
            Batch::new().record(77, 1, &[]).frame(9),
            "batch 9: record 0: unknown event code 77",
        ),
        (
            Batch::new().start(1, b"{\"Classes\": 5}").frame(3),
            "batch 3: record 0: invalid settings:",
        ),
        (
            Batch::new().start(1, b"{\"Classes\": []}").frame(3),
            "batch 3: record 0: invalid settings: no classes",
        ),
        (
            Batch::new().start(1, b"\xff\xfe").frame(3),
            "batch 3: record 0: invalid settings:",
        ),
        (
            [&valid[..], &[0, 0, 0]].concat(),
            "batch header truncated: received 3 of 20 bytes",
        ),
    ];
    for (input, expected) in cases {
        let output = run(&input);
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{expected}");
        assert!(
            error.starts_with(&format!("ottertiller-simulator-adapter: {expected}")),
            "{error}"
        );
        assert_eq!(error.lines().count(), 1, "{error}");
        // Panics if records of the last reply are missing.
        action_codes(&output.stdout);
    }
}

#[test]
fn error_line_names_each_cause_once() {
    let invalid_settings = Batch::new().start(1, b"{\"Classes\": 5}").frame(3);
    let unknown_outcome = Batch::new().record(8, 1, &[&[0; 6], &[8]]).frame(4);
    let cases = [
        (
            invalid_settings,
            "batch 3: record 0: invalid settings: Classes: invalid type: integer `5`, \
             expected a sequence at line 1 column 13",
        ),
        (unknown_outcome, "batch 4: record 0: unknown outcome 8"),
    ];
    for (input, expected) in cases {
        let error = String::from_utf8_lossy(&run(&input).stderr).into_owned();
        assert_eq!(
            error,
            format!("ottertiller-simulator-adapter: {expected}\n")
        );
    }
}

/// A header may declare a body of 4 GiB that never arrives. The adapter reports the end of the input
/// instead of running out of memory.
#[test]
fn declared_length_does_not_allocate_memory() {
    let mut frame = Batch::new().frame(1);
    frame[8..12].copy_from_slice(&u32::MAX.to_be_bytes());
    let output = run(&frame);
    assert!(
        String::from_utf8_lossy(&output.stderr)
            .contains("batch 1: body truncated: received 0 of 4294967295 bytes")
    );
}
