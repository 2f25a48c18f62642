//! The verdict on a run of the tests: it passes if every test program came to an end and no test
//! failed but those that `KNOWN-RED.txt` lists.

mod known_red;

use crate::read_error::{ReadError, read_text};
use crate::test_output::{
    Test, TestProgram, announced_programs, count_failures, count_results, failure_lines,
    listed_tests,
};
use clap::Args;
use known_red::{KnownRed, KnownRedError};
use std::collections::BTreeSet;
use std::path::PathBuf;
use thiserror::Error;

/// The files that tell of a run of the tests.
#[derive(Debug, Args)]
pub(crate) struct TestRunFiles {
    /// The file with what `cargo test -- --list` printed
    tests: PathBuf,
    /// The file with what the run printed
    output: PathBuf,
    /// The exit code of the run
    status: i32,
    /// The file of the tests that may fail, which need not exist; each line is "TEST | CAUSE |
    /// issue N"
    known_red: PathBuf,
}

impl TestRunFiles {
    /// Reads the files.
    pub(crate) fn read(&self) -> Result<TestRun, ReadError> {
        let known_red = match read_text(&self.known_red) {
            Ok(text) => text,
            Err(error) if error.is_not_found() => String::new(),
            Err(error) => return Err(error),
        };
        Ok(TestRun {
            listing: read_text(&self.tests)?,
            output: read_text(&self.output)?,
            status: self.status,
            known_red,
        })
    }
}

/// What is known of a run of the tests.
#[derive(Debug)]
pub(crate) struct TestRun {
    /// What `cargo test -- --list` printed.
    listing: String,
    /// What the run printed.
    output: String,
    /// The exit code of the run.
    status: i32,
    /// The text of `KNOWN-RED.txt`, empty if there is none.
    known_red: String,
}

/// Whether a run passes.
#[derive(Debug)]
pub(crate) struct Verdict {
    /// The lines to print of tests that are known to fail.
    pub notes: Vec<String>,
    /// Why the run does not pass.
    pub failure: Option<VerdictFailure>,
}

/// Why a run does not pass.
#[derive(Debug, Error)]
pub(crate) enum VerdictFailure {
    /// Failures could not be told apart.
    #[error("two test programs have the same name: {0}")]
    SameName(String),
    /// `KNOWN-RED.txt` cannot be used.
    #[error(transparent)]
    KnownRed(#[from] KnownRedError),
    /// The build failed, or the command runs no tests.
    #[error("no test was run")]
    NoTests,
    /// A test program ended without a result.
    #[error("{programs} test programs were run, and {results} came to an end")]
    Unfinished {
        /// The programs that were started.
        programs: usize,
        /// The programs that counted their results.
        results: usize,
    },
    /// The names that were found are not those of all failed tests.
    #[error("not all of the {0} failed tests could be named")]
    Unnamed(usize),
    /// A test failed that may not.
    #[error("{0} failed")]
    Failed(String),
    /// Something else than a test failed.
    #[error("the tests ended with {0} though none failed")]
    Status(i32),
}

impl TestRun {
    /// Decides whether the run passes.
    pub(crate) fn judge(&self) -> Verdict {
        let mut notes = Vec::new();
        let failure = self.require_pass(&mut notes).err();
        Verdict { notes, failure }
    }

    /// Returns why the run does not pass. Lines to print are added to `notes`.
    fn require_pass(&self, notes: &mut Vec<String>) -> Result<(), VerdictFailure> {
        require_distinct_programs(&self.listing)?;
        let tests = listed_tests(&self.listing);
        let existing: BTreeSet<String> = tests.iter().map(Test::full_name).collect();
        let known = known_red::parse(&self.known_red, &existing)?;
        notes.extend(known.iter().map(|red| format!("known red: {}", red.line)));

        self.require_end()?;
        let failed = self.failed_tests(&existing)?;
        let is_known = |name: &String| known.iter().any(|red| red.test == *name);
        if let Some(name) = failed.iter().find(|name| !is_known(name)) {
            return Err(VerdictFailure::Failed(name.clone()));
        }
        if self.status != 0 && failed.is_empty() {
            return Err(VerdictFailure::Status(self.status));
        }
        let passes = |red: &&KnownRed| !failed.contains(&red.test);
        let passing = known.iter().filter(passes);
        notes.extend(passing.map(|red| format!("known red, but it passes: {}", red.test)));
        Ok(())
    }

    /// Requires that every test program that was started has counted its results.
    fn require_end(&self) -> Result<(), VerdictFailure> {
        let programs = announced_programs(&self.output).len();
        let results = count_results(&self.output);
        if programs == 0 {
            return Err(VerdictFailure::NoTests);
        }
        if programs != results {
            return Err(VerdictFailure::Unfinished { programs, results });
        }
        Ok(())
    }

    /// Returns the names of the failed tests, if there are as many as the programs counted.
    fn failed_tests(
        &self,
        existing: &BTreeSet<String>,
    ) -> Result<BTreeSet<String>, VerdictFailure> {
        let failed: BTreeSet<String> = failure_lines(&self.output)
            .iter()
            .map(Test::full_name)
            .filter(|name| existing.contains(name))
            .collect();
        let counted = count_failures(&self.output);
        if counted != failed.len() {
            return Err(VerdictFailure::Unnamed(counted));
        }
        Ok(failed)
    }
}

/// Requires that no two test programs have the same name.
fn require_distinct_programs(listing: &str) -> Result<(), VerdictFailure> {
    let mut names = BTreeSet::new();
    let repeated = announced_programs(listing)
        .iter()
        .map(TestProgram::full_name)
        .find(|name| !names.insert(name.clone()));
    match repeated {
        Some(name) => Err(VerdictFailure::SameName(name)),
        None => Ok(()),
    }
}
