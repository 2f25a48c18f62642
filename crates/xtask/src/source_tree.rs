//! Finds and reads the Rust files below a folder.

use crate::read_error::{ReadError, read_text};
use std::fs;
use std::path::Path;

/// The names of folders that are not searched: build output and Git's data.
const IGNORED_FOLDERS: [&str; 2] = ["target", ".git"];

/// A Rust file.
#[derive(Debug)]
pub(crate) struct SourceFile {
    /// The path relative to the folder that was searched, with `/` between its parts.
    pub path: String,
    /// The text of the file.
    pub text: String,
}

impl SourceFile {
    /// Returns whether the file may contain tests: it is below a folder named `tests`, or is named
    /// `tests.rs` or `*_tests.rs`.
    pub(crate) fn is_test_file(&self) -> bool {
        let path = format!("/{}", self.path);
        path.contains("/tests/") || path.ends_with("/tests.rs") || path.ends_with("_tests.rs")
    }

    /// Counts the lines that are not blank.
    pub(crate) fn non_blank_lines(&self) -> usize {
        non_blank_lines(&self.text)
    }
}

/// Counts the lines of a text that are not blank.
pub(crate) fn non_blank_lines(text: &str) -> usize {
    let lines = text.lines();
    lines.filter(|line| !line.trim().is_empty()).count()
}

/// Returns all Rust files below a folder, sorted by path.
pub(crate) fn rust_files(folder: &Path) -> Result<Vec<SourceFile>, ReadError> {
    let mut files = Vec::new();
    collect_rust_files(folder, "", &mut files)?;
    files.sort_by(|a, b| a.path.cmp(&b.path));
    Ok(files)
}

/// Adds the Rust files below a folder to `files`, with `prefix` in front of their paths.
fn collect_rust_files(
    folder: &Path,
    prefix: &str,
    files: &mut Vec<SourceFile>,
) -> Result<(), ReadError> {
    for entry in fs::read_dir(folder).map_err(ReadError::at(folder))? {
        let entry = entry.map_err(ReadError::at(folder))?;
        let name = entry.file_name().to_string_lossy().into_owned();
        let path = entry.path();
        let file_type = entry.file_type().map_err(ReadError::at(&path))?;
        if file_type.is_dir() {
            if !IGNORED_FOLDERS.contains(&name.as_str()) {
                collect_rust_files(&path, &format!("{prefix}{name}/"), files)?;
            }
        } else if name.ends_with(".rs") {
            files.push(SourceFile {
                path: format!("{prefix}{name}"),
                text: read_text(&path)?,
            });
        }
    }
    Ok(())
}
