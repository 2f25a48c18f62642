//! The adapter as a process: whole frames in, whole frames out, and one line of error for bad
//! input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// The codes of the events and actions that the tests use.
const START: u8 = 1;
const ENDPOINT_LIST: u8 = 2;
const REQUEST: u8 = 3;
const STOP: u8 = 10;
const SET_TIMER: u8 = 68;
const SHED: u8 = 75;
const START_ATTEMPT: u8 = 76;

const EVENT_SIZE: usize = 48;
const ACTION_SIZE: usize = 32;
const REPLY_HEADER_SIZE: usize = 12;
const ENTRY_SIZE: usize = 23;

const SETTINGS: &str = r#"{"NInstances": 2, "Surprise": {"Deep": [1]}, "Classes": [{"Target": 400.0, "GiveUp": 1000.0,
    "Idempotency": "free", "Unheard": true}]}"#;

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_ottertiller-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // It may stop reading at bad input.
    let _ = child.stdin.take().expect("its input").write_all(input);
    child.wait_with_output().expect("it ends with its input")
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

    fn record(mut self, code: u8, node: u16, fields: &[&[u8]]) -> Self {
        let mut record = vec![code];
        record.extend(node.to_be_bytes());
        fields.iter().for_each(|field| record.extend(*field));
        record.resize(EVENT_SIZE, 0);
        self.records.extend(record);
        self.count += 1;
        self
    }

    /// A start, with its settings at the end of the tail so far.
    fn start(mut self, node: u16, settings: &[u8]) -> Self {
        let at = (self.tail.len() as u32).to_be_bytes();
        self.tail.extend(settings);
        self.record(
            START,
            node,
            &[
                &9u64.to_be_bytes(),
                &at,
                &(settings.len() as u32).to_be_bytes(),
            ],
        )
    }

    /// A snapshot of so many ready endpoints.
    fn list(mut self, node: u16, endpoints: u16) -> Self {
        let at = (self.tail.len() as u32).to_be_bytes();
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
                &at,
                &u32::from(endpoints).to_be_bytes(),
            ],
        )
    }

    fn request(self, node: u16, id: u64) -> Self {
        let remaining = 900f64.to_be_bytes();
        self.record(REQUEST, node, &[&id.to_be_bytes(), &[0; 12], &remaining])
    }

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

/// The codes of the actions of each reply.
fn replies(output: &[u8]) -> Vec<Vec<u8>> {
    let word =
        |at: usize| u32::from_be_bytes(output[at..at + 4].try_into().expect("four bytes")) as usize;
    let (mut at, mut replies) = (0, Vec::new());
    while at < output.len() {
        let (length, count) = (word(at + 4), word(at + 8));
        replies.push(
            (0..count)
                .map(|i| output[at + REPLY_HEADER_SIZE + ACTION_SIZE * i])
                .collect(),
        );
        at += REPLY_HEADER_SIZE + length;
    }
    replies
}

#[test]
fn nodes_run_side_by_side_restart_and_end_with_the_input() {
    let settings = SETTINGS.as_bytes();
    let first = Batch::new()
        .start(1, settings)
        .list(1, 2)
        .start(2, settings)
        .list(2, 2)
        .frame(1);
    let requests = Batch::new().request(1, 5).request(2, 6).frame(2);
    // Node 1 restarts in one batch; what comes for node 2 after its stop is late.
    let restart = Batch::new()
        .record(STOP, 1, &[])
        .start(1, settings)
        .list(1, 1)
        .request(1, 7)
        .record(STOP, 2, &[])
        .request(2, 8)
        .frame(3);
    let output = run(&[first, requests, restart, Batch::new().frame(4)].concat());
    assert!(output.status.success());
    let replies = replies(&output.stdout);
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
fn a_megabyte_batch_is_answered_whole() {
    let start = Batch::new()
        .start(1, SETTINGS.as_bytes())
        .list(1, 40)
        .frame(1);
    let many = (0..25_000)
        .fold(Batch::new(), |batch, id| batch.request(1, id))
        .frame(2);
    assert!(many.len() > 1_000_000);
    let output = run(&[start, many].concat());
    assert!(output.status.success());
    let replies = replies(&output.stdout);
    // Each request is sent, shed or queued for a while.
    let decided = replies[1]
        .iter()
        .filter(|code| [START_ATTEMPT, SHED, SET_TIMER].contains(code))
        .count();
    assert!(decided >= 25_000);
}

#[test]
fn bad_input_ends_with_one_line_of_error_and_no_partial_reply() {
    let good = Batch::new()
        .start(1, SETTINGS.as_bytes())
        .list(1, 2)
        .frame(1);
    let cases = [
        (good[..30].to_vec(), "batch 1: 10 of"),
        (
            Batch::new().record(77, 1, &[]).frame(9),
            "batch 9: record 0: unknown event code 77",
        ),
        (
            Batch::new().start(1, b"{\"Classes\": 5}").frame(3),
            "batch 3: record 0: bad settings:",
        ),
        (
            Batch::new().start(1, b"{\"Classes\": []}").frame(3),
            "batch 3: record 0: bad settings: no classes",
        ),
        (
            Batch::new().start(1, b"\xff\xfe").frame(3),
            "batch 3: record 0: bad settings:",
        ),
        (
            [&good[..], &[0, 0, 0]].concat(),
            "batch header: 3 of 20 bytes",
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
        replies(&output.stdout);
    }
}

#[test]
fn an_error_line_names_each_cause_once() {
    let unusable = Batch::new().start(1, b"{\"Classes\": 5}").frame(3);
    let unknown_outcome = Batch::new().record(8, 1, &[&[0; 6], &[8]]).frame(4);
    let cases = [
        (
            unusable,
            "batch 3: record 0: bad settings: Classes: invalid type: integer `5`, \
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

#[test]
fn a_claimed_length_takes_no_memory() {
    let mut frame = Batch::new().frame(1);
    frame[8..12].copy_from_slice(&u32::MAX.to_be_bytes());
    let output = run(&frame);
    assert!(String::from_utf8_lossy(&output.stderr).contains("batch 1: 0 of 4294967295 bytes"));
}
