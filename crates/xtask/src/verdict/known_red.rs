//! Parses `KNOWN-RED.txt`: the tests that may fail because of a known fault, one on each line.

use crate::pattern::pattern;
use regex::Regex;
use std::collections::BTreeSet;
use std::sync::LazyLock;
use thiserror::Error;

/// The maximum number of tests in the list.
const MAX_KNOWN_FAILURES: usize = 3;

/// Matches a line of the form `TEST | CAUSE | issue N`.
static LINE: LazyLock<Regex> =
    LazyLock::new(|| pattern(r"^([^|]*[^ |]) \| ([^|]*[^ |]) \| issue [0-9]+$"));

/// A test that may fail because of a known fault.
#[derive(Debug)]
pub(super) struct KnownFailure {
    /// The full name of the test.
    pub test: String,
    /// The line of the list, unchanged.
    pub line: String,
}

/// Why the list of known failures is invalid.
#[derive(Debug, Error)]
pub(crate) enum KnownFailuresError {
    /// A line does not have the form `TEST | CAUSE | issue N`.
    #[error("malformed line in KNOWN-RED.txt, expected 'TEST | CAUSE | issue N': {0}")]
    Malformed(String),
    /// No test has the listed name.
    #[error("KNOWN-RED.txt lists a test that does not exist: {0}")]
    NoSuchTest(String),
    /// Two lines name the same test.
    #[error("KNOWN-RED.txt lists a test twice: {0}")]
    ListedTwice(String),
    /// The list has more than [`MAX_KNOWN_FAILURES`] tests.
    #[error("KNOWN-RED.txt lists {0} tests; at most {MAX_KNOWN_FAILURES} are allowed")]
    TooMany(usize),
}

/// Parses the list and checks that all its tests are among `existing_tests`.
pub(super) fn parse(
    text: &str,
    existing_tests: &BTreeSet<String>,
) -> Result<Vec<KnownFailure>, KnownFailuresError> {
    let mut listed: Vec<KnownFailure> = Vec::new();
    for line in text.split_terminator('\n') {
        let failure = parse_line(line)?;
        if !existing_tests.contains(&failure.test) {
            return Err(KnownFailuresError::NoSuchTest(failure.test));
        }
        if listed.iter().any(|other| other.test == failure.test) {
            return Err(KnownFailuresError::ListedTwice(failure.test));
        }
        listed.push(failure);
    }
    if listed.len() > MAX_KNOWN_FAILURES {
        return Err(KnownFailuresError::TooMany(listed.len()));
    }
    Ok(listed)
}

/// Parses a line of the list.
fn parse_line(line: &str) -> Result<KnownFailure, KnownFailuresError> {
    let malformed = || KnownFailuresError::Malformed(line.to_string());
    let fields = LINE.captures(line).ok_or_else(malformed)?;
    Ok(KnownFailure {
        test: fields[1].to_string(),
        line: line.to_string(),
    })
}
