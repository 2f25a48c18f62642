//! What can be cited: tests, functions and files.

use super::citation::{CitedName, LastSegment};
use crate::pattern::pattern;
use crate::source_tree::SourceFile;
use crate::test_output::Test;
use regex::Regex;
use std::collections::BTreeSet;
use std::sync::LazyLock;

/// The declaration of a function.
static FUNCTION: LazyLock<Regex> = LazyLock::new(|| pattern(r"\bfn\s+(\w+)"));

/// The tests, functions and files that exist.
pub(super) struct Symbols {
    /// The full names of all tests: `CRATE::PROGRAM::MODULE::NAME`.
    tests: Vec<String>,
    /// The names of all functions, each with the module of its file.
    functions: BTreeSet<(String, String)>,
    /// The paths of all Rust files from the root.
    paths: Vec<String>,
}

impl Symbols {
    /// Takes in the tests that cargo lists, and the Rust files of the repository.
    pub(super) fn new(tests: &[Test], files: Vec<SourceFile>) -> Self {
        let functions = files.iter().flat_map(functions_of).collect();
        let paths: Vec<String> = files.into_iter().map(|file| file.path).collect();
        let tests = tests.iter().map(|test| full_name(test, &paths)).collect();
        Symbols {
            tests,
            functions,
            paths,
        }
    }

    /// Returns whether a file has a path that ends with this one.
    pub(super) fn has_file(&self, end: &str) -> bool {
        let below = format!("/{end}");
        let mut paths = self.paths.iter();
        paths.any(|path| path == end || path.ends_with(&below))
    }

    /// Returns whether a test or a function has this name.
    pub(super) fn has_name(&self, name: &CitedName) -> bool {
        self.has_test(name) || self.has_function(name)
    }

    /// Returns whether a test has this name.
    fn has_test(&self, name: &CitedName) -> bool {
        self.tests.iter().any(|test| {
            let segments: Vec<&str> = test.split("::").collect();
            name.fits(&segments)
        })
    }

    /// Returns whether a function has this name, and its file that of the module.
    fn has_function(&self, name: &CitedName) -> bool {
        let (Some(module), LastSegment::Whole(function)) = (name.modules.last(), name.last) else {
            return false;
        };
        let named = (module.to_string(), function.to_string());
        self.functions.contains(&named)
    }
}

/// Returns the name of a test with its program, and with its crate if that can be told from the
/// program's file.
fn full_name(test: &Test, paths: &[String]) -> String {
    let Some(program) = &test.program else {
        return test.path.clone();
    };
    let name = format!("{}::{}", program.name, test.path);
    let in_crate = |path: &String| {
        let folder = path
            .strip_prefix("crates/")?
            .strip_suffix(&program.source)?
            .strip_suffix('/')?;
        Some(format!("{folder}::{name}"))
    };
    // The unit tests of all crates are in files of the same names.
    let is_integration_test = program.source.starts_with("tests/");
    let qualified = paths
        .iter()
        .filter(|_| is_integration_test)
        .find_map(in_crate);
    qualified.unwrap_or(name)
}

/// Returns the functions of a file, each with its module.
fn functions_of(file: &SourceFile) -> Vec<(String, String)> {
    let module = module_name(&file.path);
    let functions = FUNCTION.captures_iter(&file.text);
    functions
        .map(|function| (module.to_string(), function[1].to_string()))
        .collect()
}

/// Returns the name of the innermost module of a file.
fn module_name(path: &str) -> &str {
    let without_extension = path.strip_suffix(".rs").unwrap_or(path);
    let module = without_extension
        .strip_suffix("/mod")
        .unwrap_or(without_extension);
    module.rsplit('/').next().unwrap_or(module)
}
