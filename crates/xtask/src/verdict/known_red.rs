//! `KNOWN-RED.txt`: the tests that may fail for a known fault, a line each.

use crate::pattern::pattern;
use regex::Regex;
use std::collections::BTreeSet;
use std::sync::LazyLock;
use thiserror::Error;

/// The most tests that may be listed.
const MAX_TESTS: usize = 3;

/// `TEST | CAUSE | issue N`
static LINE: LazyLock<Regex> =
    LazyLock::new(|| pattern(r"^([^|]*[^ |]) \| ([^|]*[^ |]) \| issue [0-9]+$"));

/// A test that may fail.
#[derive(Debug)]
pub(super) struct KnownRed {
    /// The full name of the test.
    pub test: String,
    /// The whole line of the list.
    pub line: String,
}

/// Why the list cannot be used.
#[derive(Debug, Error)]
pub(crate) enum KnownRedError {
    /// A line has another form.
    #[error("malformed in KNOWN-RED.txt: {0}")]
    Malformed(String),
    /// No test has that name.
    #[error("KNOWN-RED.txt lists a test that does not exist: {0}")]
    NoSuchTest(String),
    /// A test is in two lines.
    #[error("KNOWN-RED.txt lists a test twice: {0}")]
    ListedTwice(String),
    /// More tests are listed than may be.
    #[error("KNOWN-RED.txt lists {0} tests, three at most")]
    TooMany(usize),
}

/// Reads the list; all its tests must be among the existing ones.
pub(super) fn parse(
    text: &str,
    existing: &BTreeSet<String>,
) -> Result<Vec<KnownRed>, KnownRedError> {
    let mut listed: Vec<KnownRed> = Vec::new();
    for line in text.split_terminator('\n') {
        let red = parse_line(line)?;
        if !existing.contains(&red.test) {
            return Err(KnownRedError::NoSuchTest(red.test));
        }
        if listed.iter().any(|other| other.test == red.test) {
            return Err(KnownRedError::ListedTwice(red.test));
        }
        listed.push(red);
    }
    if listed.len() > MAX_TESTS {
        return Err(KnownRedError::TooMany(listed.len()));
    }
    Ok(listed)
}

/// Reads a line of the list.
fn parse_line(line: &str) -> Result<KnownRed, KnownRedError> {
    let malformed = || KnownRedError::Malformed(line.to_string());
    let fields = LINE.captures(line).ok_or_else(malformed)?;
    Ok(KnownRed {
        test: fields[1].to_string(),
        line: line.to_string(),
    })
}
