//! The subcommands and their arguments.

use crate::verdict::TestRunFiles;
use clap::{Parser, Subcommand};
use std::path::PathBuf;

/// The project's checks, run from the root of the repository.
#[derive(Debug, Parser)]
#[command(name = "xtask")]
pub(crate) struct CommandLine {
    /// The check to run.
    #[command(subcommand)]
    pub check: Check,
}

/// A check and what it is run on.
#[derive(Debug, Subcommand)]
pub(crate) enum Check {
    /// Checks that tests stand in test files and that no file has over 400 non-blank lines
    Sources {
        /// The folder whose Rust sources are checked
        folder: PathBuf,
    },
    /// Checks that the policy files of the deploy file are short and do no input or output
    Decisions {
        /// The deploy file, whose files are named from the working directory
        deploy_file: PathBuf,
    },
    /// Checks that no modules of a crate import one another in a cycle
    Cycles {
        /// The folder of the crates
        #[arg(default_value = "crates")]
        folder: PathBuf,
    },
    /// Checks that the tests, functions and Rust files that docs/*.md cite in backticks exist
    Citations {
        /// The file with what `cargo test -- --list` printed
        tests: PathBuf,
    },
    /// Decides whether a run of the tests passes, with the failures that are known
    ///
    /// Each test is named as PROGRAM/PATH::NAME, such as
    /// node/tests/node/main.rs::discovery::indented_list_is_parsed. PATH is the source file that
    /// cargo prints ("Running PATH"), and PROGRAM the test program without its hash
    /// ("target/debug/deps/PROGRAM-0123456789abcdef"): packages of a workspace may have a file of
    /// the same path. Tests of the documentation are named CRATE/doc-tests::NAME. Where two
    /// programs have the same name all the same, the verdict fails.
    Verdict(TestRunFiles),
}

impl Check {
    /// Returns the name of the subcommand, which begins each line of its findings.
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
