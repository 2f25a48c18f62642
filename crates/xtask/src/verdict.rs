//! The `verdict` check: a test run passes if every test program finished and only tests that
//! `KNOWN-RED.txt` lists failed.

mod known_red;

use crate::read_error::{ReadError, read_text};
use crate::test_output::{
    Test, TestProgram, announced_programs, count_failed_tests, count_finished_programs,
    failed_test_candidates, listed_tests,
};
use clap::Args;
use known_red::{KnownFailure, KnownFailuresError};
use std::collections::BTreeSet;
use std::path::PathBuf;
use thiserror::Error;

/// The files that describe a test run, and its exit code.
#[derive(Debug, Args)]
pub(crate) struct TestRunFiles {
    /// A file with the output of `cargo test -- --list`
    listing: PathBuf,
    /// A file with the output of the test run
    output: PathBuf,
    /// The exit code of the test run
    status: i32,
    /// The file that lists the tests that are known to fail; it need not exist. Each line has the
    /// form "TEST | CAUSE | issue N"
    known_red: PathBuf,
}

impl TestRunFiles {
    /// Reads the files. A missing list of known failures counts as empty.
    pub(crate) fn read(&self) -> Result<TestRun, ReadError> {
        let known_red = match read_text(&self.known_red) {
            Ok(text) => text,
            Err(error) if error.is_not_found() => String::new(),
            Err(error) => return Err(error),
        };
        Ok(TestRun {
            listing: read_text(&self.listing)?,
            output: read_text(&self.output)?,
            status: self.status,
            known_red,
        })
    }
}

/// The listing, output and exit code of a test run, and the list of known failures.
#[derive(Debug)]
pub(crate) struct TestRun {
    /// The output of `cargo test -- --list`.
    listing: String,
    /// The output of the run.
    output: String,
    /// The exit code of the run.
    status: i32,
    /// The text of `KNOWN-RED.txt`, or an empty text if the file is missing.
    known_red: String,
}

/// Whether a test run passes.
#[derive(Debug)]
pub(crate) struct Verdict {
    /// The lines to print about tests that are known to fail.
    pub notes: Vec<String>,
    /// Why the run does not pass; `None` if it passes.
    pub failure: Option<VerdictFailure>,
}

/// Why a test run does not pass.
#[derive(Debug, Error)]
pub(crate) enum VerdictFailure {
    /// Two test programs have the same name, so their failures cannot be told apart.
    #[error("two test programs have the same name: {0}")]
    DuplicateProgramName(String),
    /// `KNOWN-RED.txt` is invalid.
    #[error(transparent)]
    KnownFailures(#[from] KnownFailuresError),
    /// No test program was started: the build failed, or the command runs no tests.
    #[error("the run started no test program: the build failed or the command runs no tests")]
    NoPrograms,
    /// The numbers of started and finished test programs differ.
    #[error("{programs} test programs were started, but {results} printed a result")]
    Unfinished {
        /// The number of programs that were started.
        programs: usize,
        /// The number of programs that printed a result.
        results: usize,
    },
    /// The number of names found in the output differs from the number of failed tests.
    #[error("the names found in the output do not match the count of {0} failed tests")]
    NameCountMismatch(usize),
    /// A test failed that is not a known failure.
    #[error("test {0} failed and is not listed in KNOWN-RED.txt")]
    Failed(String),
    /// Something other than a test failed.
    #[error("the test run exited with code {0}, but no test failed")]
    ExitCode(i32),
}

impl TestRun {
    /// Decides whether the run passes.
    pub(crate) fn evaluate(&self) -> Verdict {
        let mut notes = Vec::new();
        let failure = self.require_pass(&mut notes).err();
        Verdict { notes, failure }
    }

    /// Returns an error if the run does not pass. Adds the lines to print to `notes`.
    fn require_pass(&self, notes: &mut Vec<String>) -> Result<(), VerdictFailure> {
        require_distinct_program_names(&self.listing)?;
        let tests = listed_tests(&self.listing);
        let existing_tests: BTreeSet<String> = tests.iter().map(Test::full_name).collect();
        let known_failures = known_red::parse(&self.known_red, &existing_tests)?;
        let lines = known_failures.iter().map(|known| &known.line);
        notes.extend(lines.map(|line| format!("known red: {line}")));

        self.require_all_finished()?;
        let failed = self.failed_tests(&existing_tests)?;
        let is_known = |name: &String| known_failures.iter().any(|known| known.test == *name);
        if let Some(name) = failed.iter().find(|name| !is_known(name)) {
            return Err(VerdictFailure::Failed(name.clone()));
        }
        if self.status != 0 && failed.is_empty() {
            return Err(VerdictFailure::ExitCode(self.status));
        }
        let passes = |known: &&KnownFailure| !failed.contains(&known.test);
        let passing = known_failures.iter().filter(passes);
        notes.extend(passing.map(|known| format!("known red, but it passes: {}", known.test)));
        Ok(())
    }

    /// Returns an error unless every test program that was started printed a result.
    fn require_all_finished(&self) -> Result<(), VerdictFailure> {
        let programs = announced_programs(&self.output).len();
        let results = count_finished_programs(&self.output);
        if programs == 0 {
            return Err(VerdictFailure::NoPrograms);
        }
        if programs != results {
            return Err(VerdictFailure::Unfinished { programs, results });
        }
        Ok(())
    }

    /// Returns the names of the failed tests, or an error if their number differs from the sum of
    /// the failures that the programs report.
    fn failed_tests(
        &self,
        existing_tests: &BTreeSet<String>,
    ) -> Result<BTreeSet<String>, VerdictFailure> {
        let failed: BTreeSet<String> = failed_test_candidates(&self.output)
            .iter()
            .map(Test::full_name)
            .filter(|name| existing_tests.contains(name))
            .collect();
        let counted = count_failed_tests(&self.output);
        if counted != failed.len() {
            return Err(VerdictFailure::NameCountMismatch(counted));
        }
        Ok(failed)
    }
}

/// Returns an error if two test programs have the same name.
fn require_distinct_program_names(listing: &str) -> Result<(), VerdictFailure> {
    let mut names = BTreeSet::new();
    let repeated = announced_programs(listing)
        .iter()
        .map(TestProgram::full_name)
        .find(|name| !names.insert(name.clone()));
    match repeated {
        Some(name) => Err(VerdictFailure::DuplicateProgramName(name)),
        None => Ok(()),
    }
}
