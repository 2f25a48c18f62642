//! The project's own checks. Each is a subcommand that prints its findings to standard output and
//! exits with code 1 if there are any. The checks run from the root of the repository; `.ci/run`
//! runs all of them.

mod citations;
mod command_line;
mod cycles;
mod decisions;
mod pattern;
mod read_error;
mod source_tree;
mod sources;
mod test_output;
mod verdict;

use clap::Parser;
use command_line::{Check, CommandLine};
use read_error::ReadError;
use std::error::Error;
use std::fmt::Display;
use std::process::ExitCode;

fn main() -> ExitCode {
    let CommandLine { check } = CommandLine::parse();
    match run(&check) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            println!("{}: {}", check.name(), with_sources(&error));
            ExitCode::FAILURE
        }
    }
}

/// Runs a check and returns whether it passes.
fn run(check: &Check) -> Result<bool, ReadError> {
    let name = check.name();
    match check {
        Check::Sources { folder } => Ok(report(name, &sources::check(folder)?)),
        Check::Decisions { deploy_file } => Ok(report(name, &decisions::check(deploy_file)?)),
        Check::Cycles { folder } => Ok(report(name, &cycles::check(folder)?)),
        Check::Citations { listing } => Ok(report(name, &citations::check(listing)?)),
        Check::Verdict(files) => {
            let verdict = files.read()?.evaluate();
            verdict.notes.iter().for_each(|note| println!("{note}"));
            Ok(report(name, verdict.failure.as_slice()))
        }
    }
}

/// Prints each problem after the name of the check, and returns whether there are none.
fn report(check: &str, problems: &[impl Display]) -> bool {
    for problem in problems {
        println!("{check}: {problem}");
    }
    problems.is_empty()
}

/// Returns the messages of an error and of its chain of sources, separated by colons.
fn with_sources(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
