//! Tests of `xtask verdict`, which decides whether a test run passes, given the tests that are
//! known to fail.

mod support;

use support::Folder;

/// A test program and its tests.
struct TestProgram {
    /// The line with which cargo announces the program.
    announcement: &'static str,
    /// The program's name in `KNOWN-RED.txt`.
    name: &'static str,
    /// The names of its tests.
    tests: &'static [&'static str],
}

/// The test programs of a run. Tests named `quick` are in four of them.
const PROGRAMS: [TestProgram; 5] = [
    TestProgram {
        announcement: "     Running unittests src/main.rs (target/debug/deps/ottertiller-247230490af31305)",
        name: "ottertiller/src/main.rs",
        tests: &["quick"],
    },
    TestProgram {
        announcement: "     Running tests/node.rs (target/debug/deps/node-86ca1bb43553c7bc)",
        name: "node/tests/node.rs",
        tests: &["quick", "slow"],
    },
    TestProgram {
        announcement: "     Running unittests src/lib.rs (target/debug/deps/ottertiller_balancer-1)",
        name: "ottertiller_balancer/src/lib.rs",
        tests: &["quick"],
    },
    TestProgram {
        announcement: "     Running unittests src/main.rs (target/debug/deps/ottertiller_simulator_adapter-3249f1ea)",
        name: "ottertiller_simulator_adapter/src/main.rs",
        tests: &["quick"],
    },
    TestProgram {
        announcement: "   Doc-tests ottertiller_balancer",
        name: "ottertiller_balancer/doc-tests",
        tests: &["README.md - (line 1)"],
    },
];

/// The full names of two tests of the same program.
const SLOW: &str = "node/tests/node.rs::slow";
const QUICK: &str = "node/tests/node.rs::quick";
/// A `KNOWN-RED.txt` that lists [`SLOW`].
const SLOW_IS_KNOWN: &str = "node/tests/node.rs::slow | the timer never fires | issue 7\n";

/// Returns what `cargo test -- --list` prints.
fn listing() -> String {
    let list = |program: &TestProgram| {
        let tests: String = program
            .tests
            .iter()
            .map(|test| format!("{test}: test\n"))
            .collect();
        format!(
            "{}\n{tests}\n{} tests, 0 benchmarks\n",
            program.announcement,
            program.tests.len()
        )
    };
    PROGRAMS.iter().map(list).collect()
}

/// Returns what a test run prints if these tests fail.
fn output(failed: &[&str]) -> String {
    PROGRAMS
        .iter()
        .map(|program| program_output(program, failed))
        .collect()
}

/// Returns what a program prints if these tests fail.
fn program_output(program: &TestProgram, failed: &[&str]) -> String {
    let has_failed = |test: &&&str| failed.contains(&format!("{}::{test}", program.name).as_str());
    let failed: Vec<&&str> = program.tests.iter().filter(has_failed).collect();
    let passed = program.tests.len() - failed.len();
    let counts = format!(
        "{passed} passed; {} failed; 0 ignored; 0 measured; 0 filtered out; finished in 0.00s",
        failed.len()
    );
    if failed.is_empty() {
        return format!("{}\n\ntest result: ok. {counts}\n", program.announcement);
    }
    let panics: String = failed
        .iter()
        .map(|test| format!("---- {test} stdout ----\n    left: 1\n"))
        .collect();
    let names: String = failed.iter().map(|test| format!("    {test}\n")).collect();
    format!(
        "{}\n\nfailures:\n\n{panics}\nfailures:\n{names}\ntest result: FAILED. {counts}\n",
        program.announcement
    )
}

/// Whether `xtask verdict` passes, and what it prints.
struct Verdict {
    passed: bool,
    printed: String,
}

/// Runs `xtask verdict` on a run with this output, exit code and list of known failures.
fn verdict(output: &str, status: i32, known: Option<&str>) -> Verdict {
    verdict_with_listing(&listing(), output, status, known)
}

/// Like [`verdict`], with another list of the existing tests.
fn verdict_with_listing(listing: &str, output: &str, status: i32, known: Option<&str>) -> Verdict {
    let mut files = vec![("listing", listing), ("output", output)];
    files.extend(known.map(|known| ("known", known)));
    let (passed, printed) = Folder::new(&files).run_xtask(&[
        "verdict",
        "listing",
        "output",
        &status.to_string(),
        "known",
    ]);
    Verdict { passed, printed }
}

#[test]
fn a_run_passes_unless_a_test_that_is_not_listed_fails() {
    assert!(verdict(&output(&[]), 0, None).passed);
    let Verdict { passed, printed } = verdict(&output(&[SLOW]), 101, None);
    assert!(
        !passed && printed.contains("node/tests/node.rs::slow failed"),
        "{printed}"
    );
    let both = output(&[QUICK, SLOW]);
    assert!(
        !verdict(&both, 101, Some(SLOW_IS_KNOWN)).passed,
        "only one of the two failed tests is listed"
    );
    let other = SLOW_IS_KNOWN.replace(SLOW, "ottertiller_balancer/src/lib.rs::quick");
    let Verdict { passed, printed } = verdict(&output(&[QUICK]), 101, Some(&other));
    assert!(
        !passed && printed.contains("quick failed"),
        "the listed test is in another program: {printed}"
    );
}

#[test]
fn tests_of_the_same_name_in_two_packages_are_distinguished() {
    let (node, adapter) = (
        "ottertiller/src/main.rs::quick",
        "ottertiller_simulator_adapter/src/main.rs::quick",
    );
    for (failed, other) in [(node, adapter), (adapter, node)] {
        let known = |test: &str| SLOW_IS_KNOWN.replace(SLOW, test);
        let Verdict { passed, printed } = verdict(&output(&[failed]), 101, Some(&known(failed)));
        assert!(passed && printed.contains(&known(failed)), "{printed}");
        let Verdict { passed, printed } = verdict(&output(&[failed]), 101, Some(&known(other)));
        assert!(
            !passed && printed.contains(&format!("{failed} failed")),
            "{printed}"
        );
    }
}

#[test]
fn two_programs_with_the_same_name_fail() {
    let twice = |text: String| text.replace("ottertiller_simulator_adapter", "ottertiller");
    let Verdict { passed, printed } =
        verdict_with_listing(&twice(listing()), &twice(output(&[])), 0, None);
    assert!(
        !passed && printed.contains("same name: ottertiller/src/main.rs"),
        "{printed}"
    );
}

#[test]
fn a_listed_failure_is_accepted_and_printed() {
    let Verdict { passed, printed } = verdict(&output(&[SLOW]), 101, Some(SLOW_IS_KNOWN));
    assert!(
        passed && printed.contains(SLOW_IS_KNOWN.trim_end()),
        "{printed}"
    );
    let Verdict { passed, printed } = verdict(&output(&[]), 0, Some(SLOW_IS_KNOWN));
    assert!(
        passed && printed.contains("it passes: node/tests/node.rs::slow"),
        "{printed}"
    );
}

#[test]
fn a_failed_documentation_test_can_be_listed() {
    let test = "ottertiller_balancer/doc-tests::README.md - (line 1)";
    assert!(!verdict(&output(&[test]), 101, None).passed);
    let known = SLOW_IS_KNOWN.replace(SLOW, test);
    assert!(verdict(&output(&[test]), 101, Some(&known)).passed);
}

#[test]
fn a_malformed_list_fails() {
    let known = |test: &str| SLOW_IS_KNOWN.replace(SLOW, test);
    let four = [
        SLOW_IS_KNOWN.to_owned(),
        known(QUICK),
        known("ottertiller_balancer/src/lib.rs::quick"),
        known("ottertiller_balancer/doc-tests::README.md - (line 1)"),
    ];
    let cases = [
        "node/tests/node.rs::slow\n".to_owned(),
        "node/tests/node.rs::slow | the timer never fires\n".to_owned(),
        SLOW_IS_KNOWN.replace("issue 7", "issue seven"),
        SLOW_IS_KNOWN.replace("the timer never fires", " "),
        format!("{SLOW_IS_KNOWN}\n"),
        format!("{SLOW_IS_KNOWN}{SLOW_IS_KNOWN}"),
        known("node/tests/node.rs::gone"),
        known("tests/node.rs::slow"),
        known("slow"),
        four.concat(),
    ];
    for known in cases {
        assert!(
            !verdict(&output(&[SLOW]), 101, Some(&known)).passed,
            "{known}"
        );
        assert!(!verdict(&output(&[]), 0, Some(&known)).passed, "{known}");
    }
}

#[test]
fn an_incomplete_run_fails_despite_a_listed_failure() {
    // A failed build starts no test program.
    let build_failure = "error: could not compile `ottertiller-balancer`\n";
    assert!(!verdict(build_failure, 101, Some(SLOW_IS_KNOWN)).passed);
    // A test program that crashes prints no result.
    let complete = output(&[SLOW]);
    let crashed = complete.replace("test result: FAILED", "signal: 11");
    assert!(!verdict(&crashed, 101, Some(SLOW_IS_KNOWN)).passed);
    // The output names fewer failed tests than the result counts.
    let unnamed = complete.replace("1 failed", "2 failed");
    assert!(!verdict(&unnamed, 101, Some(SLOW_IS_KNOWN)).passed);
    let no_failure = verdict(&output(&[]), 101, Some(SLOW_IS_KNOWN));
    assert!(
        !no_failure.passed,
        "the run exited with code 101, although no test failed"
    );
}
