//! The command line: subcommands and their arguments.

use crate::verdict::TestRunFiles;
use clap::{Parser, Subcommand};
use std::path::PathBuf;

/// Runs one of the project's checks; run it from the root of the repository.
#[derive(Debug, Parser)]
#[command(name = "xtask")]
pub(crate) struct CommandLine {
    /// The check to run.
    #[command(subcommand)]
    pub check: Check,
}

/// A check and its arguments.
#[derive(Debug, Subcommand)]
pub(crate) enum Check {
    /// Checks that tests are in test files and that no file has more than 400 non-blank lines
    Sources {
        /// The folder whose Rust sources are checked
        folder: PathBuf,
    },
    /// Checks that the policy files of the deploy file are short and do no input or output
    Decisions {
        /// The deploy file; the paths in it are relative to the working directory
        deploy_file: PathBuf,
    },
    /// Checks that no modules of a crate import one another in a cycle
    Cycles {
        /// The folder that holds the crates
        #[arg(default_value = "crates")]
        folder: PathBuf,
    },
    /// Checks that the tests, functions and Rust files that docs/*.md cite in backticks exist
    Citations {
        /// A file with the output of `cargo test -- --list`
        listing: PathBuf,
    },
    /// Decides whether a test run passes, given the list of tests that are known to fail
    ///
    /// Each test is named as PROGRAM/PATH::NAME, such as
    /// node/tests/node/main.rs::discovery::indented_list_is_parsed. PATH is the source file that
    /// cargo prints ("Running PATH"), and PROGRAM the test program without its hash
    /// ("target/debug/deps/PROGRAM-0123456789abcdef"). PROGRAM is needed because packages of a
    /// workspace can have source files with the same path. Documentation tests are named
    /// CRATE/doc-tests::NAME. If two programs still have the same name, the verdict fails.
    Verdict(TestRunFiles),
}

impl Check {
    /// Returns the name of the subcommand, which starts the line of each finding.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Check::Sources { .. } => "sources",
            Check::Decisions { .. } => "decisions",
            Check::Cycles { .. } => "cycles",
            Check::Citations { .. } => "citations",
            Check::Verdict(_) => "verdict",
        }
    }
}
