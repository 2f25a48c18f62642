//! Citations: the tests, functions and Rust files that the pages name in backticks exist.
//!
//! - A name of lower-case segments, such as `node::limits::NAME`, is that of a test, from any of
//!   its segments on. It may begin with `..` for segments that are left out. Its end may be `*` or
//!   nothing for all tests below, or abbreviated with `...`.
//! - A name that fits no test may be that of a function, with the module of its file before it.
//! - A file, such as `pool/idle.rs`, is the end of the path of a Rust file.
//!
//! In a section that is headed "Renamed", the first column of a table holds old names.

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

/// The folder of the pages, from the root of the repository.
const PAGES: &str = "docs";

/// A citation that is wrong.
#[derive(Debug, Error)]
pub(crate) enum CitationProblem {
    /// No tests are listed, so that no citation could be checked.
    #[error("{} lists no test", .0.display())]
    EmptyListing(PathBuf),
    /// Nothing has the cited name.
    #[error("{page}:{line}: `{cited}` names no test or function")]
    UnknownName {
        /// The path of the page.
        page: String,
        /// The number of the line, from 1.
        line: usize,
        /// The text between the backticks.
        cited: String,
    },
    /// No Rust file has a path that ends so.
    #[error("{page}:{line}: `{cited}` names no file")]
    UnknownFile {
        /// The path of the page.
        page: String,
        /// The number of the line, from 1.
        line: usize,
        /// The text between the backticks.
        cited: String,
    },
}

/// Returns the wrong citations of the pages of the repository in the working directory. The tests
/// that exist are those of a file with what `cargo test -- --list` printed.
pub(crate) fn check(tests: &Path) -> Result<Vec<CitationProblem>, ReadError> {
    let listed = listed_tests(&read_text(tests)?);
    if listed.is_empty() {
        return Ok(vec![CitationProblem::EmptyListing(tests.to_path_buf())]);
    }
    let symbols = Symbols::new(&listed, rust_files(Path::new("."))?);
    let mut problems = Vec::new();
    for page in pages()? {
        problems.extend(check_page(&page, &read_text(Path::new(&page))?, &symbols));
    }
    Ok(problems)
}

/// Returns the paths of the pages in the order of their names.
fn pages() -> Result<Vec<String>, ReadError> {
    let folder = Path::new(PAGES);
    let mut pages = Vec::new();
    for entry in fs::read_dir(folder).map_err(ReadError::at(folder))? {
        let file_name = entry.map_err(ReadError::at(folder))?.file_name();
        let name = file_name.to_string_lossy();
        if name.ends_with(".md") {
            pages.push(format!("{PAGES}/{name}"));
        }
    }
    pages.sort();
    Ok(pages)
}

/// Returns the wrong citations of a page.
fn check_page(page: &str, text: &str, symbols: &Symbols) -> Vec<CitationProblem> {
    let wrong = |(line, span): (usize, &str)| {
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
    code_spans(text).into_iter().filter_map(wrong).collect()
}
