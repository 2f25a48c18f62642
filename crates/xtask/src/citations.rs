//! The `citations` check: the tests, functions and Rust files that the documentation pages name in
//! backticks must exist.
//!
//! - A name of lower-case segments, such as `node::limits::NAME`, cites a test. Segments at its
//!   start may be omitted; a leading `..` can mark the omission. A last segment that is `*` or
//!   empty cites all tests in the modules before it, and one that ends in `...` is the start of a
//!   test's name.
//! - A name that matches no test may cite a function as `MODULE::FUNCTION`, where MODULE is the
//!   module of the function's file.
//! - A file name, such as `pool/idle.rs`, cites a Rust file by the end of its path.
//!
//! In a section headed "Renamed", the first column of a table holds old names, which are not
//! checked.

mod citation;
mod page;
mod symbols;

use crate::read_error::{ReadError, read_text};
use crate::source_tree::rust_files;
use crate::test_output::listed_tests;
use citation::Citation;
use page::code_spans;
use std::fs;
use std::path::{Path, PathBuf};
use symbols::Symbols;
use thiserror::Error;

/// The folder of the documentation pages, relative to the root of the repository.
const PAGES_FOLDER: &str = "docs";

/// A finding of the `citations` check.
#[derive(Debug, Error)]
pub(crate) enum CitationProblem {
    /// The listing has no tests, so that no citation can be checked.
    #[error("{} lists no tests; expected the output of `cargo test -- --list`", .0.display())]
    EmptyListing(PathBuf),
    /// No test or function matches the cited name.
    #[error("{page}:{line}: `{cited}` names no test or function")]
    UnknownName {
        /// The path of the page.
        page: String,
        /// The line number, from 1.
        line: usize,
        /// The text between the backticks.
        cited: String,
    },
    /// No path of a Rust file ends with the cited path.
    #[error("{page}:{line}: `{cited}` names no file")]
    UnknownFile {
        /// The path of the page.
        page: String,
        /// The line number, from 1.
        line: usize,
        /// The text between the backticks.
        cited: String,
    },
}

/// Returns the citations on the documentation pages that name nothing in the repository, which is
/// the working directory. `listing` is a file with the output of `cargo test -- --list`.
pub(crate) fn check(listing: &Path) -> Result<Vec<CitationProblem>, ReadError> {
    let tests = listed_tests(&read_text(listing)?);
    if tests.is_empty() {
        return Ok(vec![CitationProblem::EmptyListing(listing.to_path_buf())]);
    }
    let symbols = Symbols::new(&tests, rust_files(Path::new("."))?);
    let mut problems = Vec::new();
    for page in page_paths()? {
        problems.extend(check_page(&page, &read_text(Path::new(&page))?, &symbols));
    }
    Ok(problems)
}

/// Returns the paths of the documentation pages, sorted by name.
fn page_paths() -> Result<Vec<String>, ReadError> {
    let folder = Path::new(PAGES_FOLDER);
    let mut pages = Vec::new();
    for entry in fs::read_dir(folder).map_err(ReadError::at(folder))? {
        let file_name = entry.map_err(ReadError::at(folder))?.file_name();
        let name = file_name.to_string_lossy();
        if name.ends_with(".md") {
            pages.push(format!("{PAGES_FOLDER}/{name}"));
        }
    }
    pages.sort();
    Ok(pages)
}

/// Returns the citations on a page that name nothing in the repository.
fn check_page(page: &str, text: &str, symbols: &Symbols) -> Vec<CitationProblem> {
    let find_problem = |(line, span): (usize, &str)| {
        let (page, cited) = (page.to_string(), span.to_string());
        match Citation::parse(span)? {
            Citation::File(path) if !symbols.has_file(path) => {
                Some(CitationProblem::UnknownFile { page, line, cited })
            }
            Citation::Name(name) if !symbols.has_name(&name) => {
                Some(CitationProblem::UnknownName { page, line, cited })
            }
            _ => None,
        }
    };
    code_spans(text)
        .into_iter()
        .filter_map(find_problem)
        .collect()
}
