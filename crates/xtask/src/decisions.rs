//! The decision module: the files that the deploy file names as `policy` decide and do nothing
//! else. They are short, and read no clock, file, variable or socket, start no thread and print
//! nothing.

use crate::pattern::pattern;
use crate::read_error::{ReadError, read_text};
use crate::source_tree::non_blank_lines;
use regex::Regex;
use std::path::{Path, PathBuf};
use std::sync::LazyLock;
use thiserror::Error;

/// The most non-blank lines of a decision file.
const MAX_LINES: usize = 399;

/// The most characters of a line.
const MAX_WIDTH: usize = 100;

/// The columns between two tab stops.
const TAB_WIDTH: usize = 8;

/// The list of decision files in a deploy file.
static POLICY_FILES: LazyLock<Regex> = LazyLock::new(|| pattern(r"(?m)^policy = \[([^\]\n]*)\]"));

/// What does input or output, or leads to it.
static INPUT_OR_OUTPUT: LazyLock<Regex> = LazyLock::new(|| {
    pattern(
        r"\b(std::(net|fs|io|env|process|thread)|tokio|rustix|socket2|Instant|SystemTime|e?println!|dbg!)",
    )
});

/// A decision file that is not what it should be.
#[derive(Debug, Error)]
pub(crate) enum DecisionProblem {
    /// The deploy file names no decision files.
    #[error("{} names no policy files", .0.display())]
    NoPolicyFiles(PathBuf),
    /// The file does not exist, or is of another kind.
    #[error("{0} is no Rust source")]
    NoRustSource(String),
    /// The file is too long.
    #[error("{file} has {lines} non-blank lines of {MAX_LINES}")]
    TooLong {
        /// The path of the file.
        file: String,
        /// The non-blank lines.
        lines: usize,
    },
    /// A line of the file is too long.
    #[error("{file} has a line of {width} characters of {MAX_WIDTH}")]
    TooWide {
        /// The path of the file.
        file: String,
        /// The columns of its longest line.
        width: usize,
    },
    /// A line of the file names something that does input or output.
    #[error("{file} does input or output in line {number}: {line}")]
    InputOrOutput {
        /// The path of the file.
        file: String,
        /// The number of the line, from 1.
        number: usize,
        /// The text of the line.
        line: String,
    },
}

/// Returns what is wrong with the files that a deploy file names as decisions, from the working
/// directory.
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
            problems.push(DecisionProblem::NoRustSource(file));
        } else {
            problems.extend(check_text(&file, &read_text(path)?));
        }
    }
    Ok(problems)
}

/// Returns the paths that a deploy file names as decisions.
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

/// Returns what is wrong with the text of a decision file.
fn check_text(file: &str, text: &str) -> Vec<DecisionProblem> {
    let mut problems = Vec::new();
    let file = || file.to_string();
    let lines = non_blank_lines(text);
    if lines > MAX_LINES {
        let file = file();
        problems.push(DecisionProblem::TooLong { file, lines });
    }
    let width = text.lines().map(width).max().unwrap_or(0);
    if width > MAX_WIDTH {
        let file = file();
        problems.push(DecisionProblem::TooWide { file, width });
    }
    let numbered = text.lines().zip(1..);
    let impure = numbered.filter(|(line, _)| INPUT_OR_OUTPUT.is_match(line));
    problems.extend(impure.map(|(line, number)| DecisionProblem::InputOrOutput {
        file: file(),
        number,
        line: line.trim().to_string(),
    }));
    problems
}

/// Returns the columns that a line takes; a tab goes on to the next tab stop.
fn width(line: &str) -> usize {
    line.chars().fold(0, |columns, character| match character {
        '\t' => (columns / TAB_WIDTH + 1) * TAB_WIDTH,
        _ => columns + 1,
    })
}
