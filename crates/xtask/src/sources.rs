//! The layout of the sources: tests stand in test files, and files are short.

use crate::pattern::pattern;
use crate::read_error::ReadError;
use crate::source_tree::{SourceFile, rust_files};
use regex::Regex;
use std::path::{Path, PathBuf};
use std::sync::LazyLock;
use thiserror::Error;

/// The most non-blank lines of a file.
const MAX_LINES: usize = 400;

/// The attribute of a test, such as `#[test]` or `#[tokio::test(start_paused = true)]`.
static TEST_ATTRIBUTE: LazyLock<Regex> =
    LazyLock::new(|| pattern(r"(?m)^\s*#\[([a-z_]+::)*test\b"));

/// A file that does not keep the layout.
#[derive(Debug, Error)]
pub(crate) enum SourceProblem {
    /// The folder has no Rust file at all, so that it is hardly the one that was meant.
    #[error("no Rust source below {}", .0.display())]
    NoSources(PathBuf),
    /// The file is too long.
    #[error("{path} has {lines} non-blank lines of {MAX_LINES}")]
    TooLong {
        /// The path from the folder that is checked.
        path: String,
        /// The non-blank lines.
        lines: usize,
    },
    /// The file has tests and is no test file.
    #[error("{0} has tests; they belong into a test file")]
    HasTests(String),
}

/// Returns what is wrong with the layout of the Rust files below a folder.
pub(crate) fn check(folder: &Path) -> Result<Vec<SourceProblem>, ReadError> {
    let files = rust_files(folder)?;
    if files.is_empty() {
        return Ok(vec![SourceProblem::NoSources(folder.to_path_buf())]);
    }
    Ok(files.iter().flat_map(check_file).collect())
}

/// Returns what is wrong with a file.
fn check_file(file: &SourceFile) -> Vec<SourceProblem> {
    let mut problems = Vec::new();
    let path = || file.path.clone();
    let lines = file.non_blank_lines();
    if lines > MAX_LINES {
        let path = path();
        problems.push(SourceProblem::TooLong { path, lines });
    }
    if TEST_ATTRIBUTE.is_match(&file.text) && !file.is_test_file() {
        problems.push(SourceProblem::HasTests(path()));
    }
    problems
}
