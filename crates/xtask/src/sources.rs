//! The `sources` check: tests are in test files, and no file is too long.

use crate::pattern::pattern;
use crate::read_error::ReadError;
use crate::source_tree::{SourceFile, rust_files};
use regex::Regex;
use std::path::{Path, PathBuf};
use std::sync::LazyLock;
use thiserror::Error;

/// The maximum number of non-blank lines in a file.
const MAX_NON_BLANK_LINES: usize = 400;

/// Matches the attribute of a test, such as `#[test]` or `#[tokio::test(start_paused = true)]`.
static TEST_ATTRIBUTE: LazyLock<Regex> =
    LazyLock::new(|| pattern(r"(?m)^\s*#\[([a-z_]+::)*test\b"));

/// A finding of the `sources` check.
#[derive(Debug, Error)]
pub(crate) enum SourceProblem {
    /// The folder has no Rust files, so it is probably the wrong one.
    #[error("no Rust files below {}", .0.display())]
    NoSources(PathBuf),
    /// The file has too many lines.
    #[error("{path} has {lines} non-blank lines; at most {MAX_NON_BLANK_LINES} are allowed")]
    TooLong {
        /// The path relative to the folder that is checked.
        path: String,
        /// The number of non-blank lines.
        lines: usize,
    },
    /// The file contains tests but is not a test file.
    #[error("{0} has tests; they belong in a test file: tests/*.rs, tests.rs or *_tests.rs")]
    HasTests(String),
}

/// Returns the problems of the Rust files below a folder.
pub(crate) fn check(folder: &Path) -> Result<Vec<SourceProblem>, ReadError> {
    let files = rust_files(folder)?;
    if files.is_empty() {
        return Ok(vec![SourceProblem::NoSources(folder.to_path_buf())]);
    }
    Ok(files.iter().flat_map(check_file).collect())
}

/// Returns the problems of a file.
fn check_file(file: &SourceFile) -> Vec<SourceProblem> {
    let mut problems = Vec::new();
    let path = || file.path.clone();
    let lines = file.non_blank_lines();
    if lines > MAX_NON_BLANK_LINES {
        let path = path();
        problems.push(SourceProblem::TooLong { path, lines });
    }
    if TEST_ATTRIBUTE.is_match(&file.text) && !file.is_test_file() {
        problems.push(SourceProblem::HasTests(path()));
    }
    problems
}
