//! The tests, functions and Rust files that a page can cite.

use super::citation::{CitedName, LastSegment};
use crate::pattern::pattern;
use crate::source_tree::SourceFile;
use crate::test_output::Test;
use regex::Regex;
use std::collections::BTreeSet;
use std::sync::LazyLock;

/// Matches the declaration of a function.
static FUNCTION: LazyLock<Regex> = LazyLock::new(|| pattern(r"\bfn\s+(\w+)"));

/// The tests, functions and Rust files of the repository.
pub(super) struct Symbols {
    /// The qualified names of all tests: `CRATE::PROGRAM::MODULE::NAME` for an integration test,
    /// where `CRATE` is the folder of its crate under `crates/`, and `PROGRAM::MODULE::NAME` for
    /// any other test.
    tests: Vec<String>,
    /// All functions as pairs of the name of their file's module and their own name.
    functions: BTreeSet<(String, String)>,
    /// The paths of all Rust files, relative to the root of the repository.
    paths: Vec<String>,
}

impl Symbols {
    /// Collects the tests that cargo lists and the functions and paths of the Rust files.
    pub(super) fn new(tests: &[Test], files: Vec<SourceFile>) -> Self {
        let functions = files.iter().flat_map(functions_of).collect();
        let paths: Vec<String> = files.into_iter().map(|file| file.path).collect();
        let tests = tests
            .iter()
            .map(|test| qualified_name(test, &paths))
            .collect();
        Symbols {
            tests,
            functions,
            paths,
        }
    }

    /// Returns whether the path of a file is `path_end`, or ends with `/` and `path_end`.
    pub(super) fn has_file(&self, path_end: &str) -> bool {
        let suffix = format!("/{path_end}");
        let mut paths = self.paths.iter();
        paths.any(|path| path == path_end || path.ends_with(&suffix))
    }

    /// Returns whether a test or a function has this name.
    pub(super) fn has_name(&self, name: &CitedName) -> bool {
        self.has_test(name) || self.has_function(name)
    }

    /// Returns whether a test has this name.
    fn has_test(&self, name: &CitedName) -> bool {
        self.tests.iter().any(|test| {
            let segments: Vec<&str> = test.split("::").collect();
            name.matches(&segments)
        })
    }

    /// Returns whether a function has the name in the last segment, and its file is the module
    /// named by the segment before it. A name without a module names no function, and neither does
    /// a prefix (`PREFIX...`) or a group (`*`): these match tests only.
    fn has_function(&self, name: &CitedName) -> bool {
        let (Some(module), LastSegment::Exact(function)) = (name.modules.last(), name.last) else {
            return false;
        };
        let qualified = (module.to_string(), function.to_string());
        self.functions.contains(&qualified)
    }
}

/// Returns the name of a test, qualified by its program and, for an integration test, by the folder
/// of its crate.
fn qualified_name(test: &Test, paths: &[String]) -> String {
    let Some(program) = &test.program else {
        return test.path.clone();
    };
    let name = format!("{}::{}", program.name, test.path);
    let with_crate = |path: &String| {
        let folder = path
            .strip_prefix("crates/")?
            .strip_suffix(&program.source)?
            .strip_suffix('/')?;
        Some(format!("{folder}::{name}"))
    };
    // For unit tests, cargo prints `src/lib.rs` or `src/main.rs`, which does not tell the crate.
    // The path of an integration test is assumed to exist in one crate only: the first file that
    // matches determines the crate.
    let is_integration_test = program.source.starts_with("tests/");
    let qualified = paths
        .iter()
        .filter(|_| is_integration_test)
        .find_map(with_crate);
    qualified.unwrap_or(name)
}

/// Returns the functions of a file as pairs of module and name.
fn functions_of(file: &SourceFile) -> Vec<(String, String)> {
    let module = module_name(&file.path);
    let functions = FUNCTION.captures_iter(&file.text);
    functions
        .map(|function| (module.to_string(), function[1].to_string()))
        .collect()
}

/// Returns the module name of a file: the file's own name, or the folder's name for `mod.rs`.
fn module_name(path: &str) -> &str {
    let without_extension = path.strip_suffix(".rs").unwrap_or(path);
    let module = without_extension
        .strip_suffix("/mod")
        .unwrap_or(without_extension);
    module.rsplit('/').next().unwrap_or(module)
}
