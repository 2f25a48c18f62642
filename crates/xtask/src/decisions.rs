//! The `decisions` check: the decision files, which the deploy file lists as `policy`, are short
//! and do no input or output. They use no clocks, files, environment variables or sockets, start
//! no threads or processes, and print nothing.

use crate::pattern::pattern;
use crate::read_error::{ReadError, read_text};
use crate::source_tree::non_blank_lines;
use regex::Regex;
use std::path::{Path, PathBuf};
use std::sync::LazyLock;
use thiserror::Error;

/// The maximum number of non-blank lines in a decision file.
const MAX_NON_BLANK_LINES: usize = 399;

/// The maximum number of columns of a line.
const MAX_COLUMNS: usize = 100;

/// The number of columns between two tab stops.
const TAB_COLUMNS: usize = 8;

/// Matches the list of decision files in a deploy file.
static POLICY_FILES: LazyLock<Regex> = LazyLock::new(|| pattern(r"(?m)^policy = \[([^\]\n]*)\]"));

/// Matches the names of modules, crates, types and macros for input or output.
static INPUT_OR_OUTPUT: LazyLock<Regex> = LazyLock::new(|| {
    pattern(
        r"\b(std::(net|fs|io|env|process|thread)|tokio|rustix|socket2|Instant|SystemTime|e?println!|dbg!)",
    )
});

/// A finding of the `decisions` check.
#[derive(Debug, Error)]
pub(crate) enum DecisionProblem {
    /// The deploy file lists no decision files.
    #[error("{} has no files in its list `policy`", .0.display())]
    NoPolicyFiles(PathBuf),
    /// The file does not exist or is not a Rust file.
    #[error("policy file {0} does not exist or is not a Rust file")]
    NotARustFile(String),
    /// The file has too many lines.
    #[error("{file} has {lines} non-blank lines; at most {MAX_NON_BLANK_LINES} are allowed")]
    TooLong {
        /// The path of the file.
        file: String,
        /// The number of non-blank lines.
        lines: usize,
    },
    /// A line of the file is too long.
    #[error("{file} has a line of {columns} columns; at most {MAX_COLUMNS} are allowed")]
    TooWide {
        /// The path of the file.
        file: String,
        /// The number of columns of the longest line.
        columns: usize,
    },
    /// A line of the file names a module, crate, type or macro for input or output.
    #[error("{file} does input or output on line {number}: {line}")]
    InputOrOutput {
        /// The path of the file.
        file: String,
        /// The line number, from 1.
        number: usize,
        /// The text of the line.
        line: String,
    },
}

/// Returns the problems of the decision files that a deploy file lists. Their paths are relative to
/// the working directory.
pub(crate) fn check(deploy_file: &Path) -> Result<Vec<DecisionProblem>, ReadError> {
    let files = policy_files(&read_text(deploy_file)?);
    if files.is_empty() {
        let deploy_file = deploy_file.to_path_buf();
        return Ok(vec![DecisionProblem::NoPolicyFiles(deploy_file)]);
    }
    let mut problems = Vec::new();
    for file in files {
        let path = Path::new(&file);
        if !path.is_file() || path.extension().is_none_or(|extension| extension != "rs") {
            problems.push(DecisionProblem::NotARustFile(file));
        } else {
            problems.extend(check_text(&file, &read_text(path)?));
        }
    }
    Ok(problems)
}

/// Returns the paths of the decision files that a deploy file lists.
fn policy_files(deploy_text: &str) -> Vec<String> {
    let lists = POLICY_FILES.captures_iter(deploy_text);
    lists
        .flat_map(|list| {
            let files = list[1].split(',').map(|file| file.trim().replace('"', ""));
            files.collect::<Vec<_>>()
        })
        .filter(|file| !file.is_empty())
        .collect()
}

/// Returns the problems of a decision file with this text.
fn check_text(file: &str, text: &str) -> Vec<DecisionProblem> {
    let mut problems = Vec::new();
    let file = || file.to_string();
    let lines = non_blank_lines(text);
    if lines > MAX_NON_BLANK_LINES {
        let file = file();
        problems.push(DecisionProblem::TooLong { file, lines });
    }
    let columns = text.lines().map(column_count).max().unwrap_or(0);
    if columns > MAX_COLUMNS {
        let file = file();
        problems.push(DecisionProblem::TooWide { file, columns });
    }
    let numbered = text.lines().zip(1..);
    let io_lines = numbered.filter(|(line, _)| INPUT_OR_OUTPUT.is_match(line));
    problems.extend(
        io_lines.map(|(line, number)| DecisionProblem::InputOrOutput {
            file: file(),
            number,
            line: line.trim().to_string(),
        }),
    );
    problems
}

/// Counts the columns of a line; a tab extends to the next tab stop.
fn column_count(line: &str) -> usize {
    line.chars().fold(0, |columns, character| match character {
        '\t' => (columns / TAB_COLUMNS + 1) * TAB_COLUMNS,
        _ => columns + 1,
    })
}
