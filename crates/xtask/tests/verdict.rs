//! The verdict on a run of the tests, with and without tests that are known to fail.

mod support;

use support::Folder;

/// A test program as cargo announces it, and its tests.
struct TestProgram {
    announcement: &'static str,
    /// The program's name in `KNOWN-RED.txt`.
    name: &'static str,
    tests: &'static [&'static str],
}

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

const SLOW: &str = "node/tests/node.rs::slow";
const QUICK: &str = "node/tests/node.rs::quick";
const SLOW_IS_KNOWN: &str = "node/tests/node.rs::slow | the clock stands still | issue 7\n";

/// What `cargo test -- --list` prints.
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

/// What a run prints in which these tests failed.
fn output(failed: &[&str]) -> String {
    PROGRAMS
        .iter()
        .map(|program| program_output(program, failed))
        .collect()
}

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

/// Whether CI passes, and what it prints.
struct Verdict {
    passed: bool,
    printed: String,
}

fn verdict(output: &str, status: i32, known: Option<&str>) -> Verdict {
    verdict_on(&listing(), output, status, known)
}

fn verdict_on(listing: &str, output: &str, status: i32, known: Option<&str>) -> Verdict {
    let mut files = vec![("tests", listing), ("output", output)];
    files.extend(known.map(|known| ("known", known)));
    let (passed, printed) =
        Folder::new(&files).xtask(&["verdict", "tests", "output", &status.to_string(), "known"]);
    Verdict { passed, printed }
}

#[test]
fn a_run_without_failures_passes_and_any_other_failure_does_not() {
    assert!(verdict(&output(&[]), 0, None).passed);
    let Verdict { passed, printed } = verdict(&output(&[SLOW]), 101, None);
    assert!(
        !passed && printed.contains("node/tests/node.rs::slow failed"),
        "{printed}"
    );
    let both = output(&[QUICK, SLOW]);
    assert!(
        !verdict(&both, 101, Some(SLOW_IS_KNOWN)).passed,
        "one of them is not listed"
    );
    let other = SLOW_IS_KNOWN.replace(SLOW, "ottertiller_balancer/src/lib.rs::quick");
    let Verdict { passed, printed } = verdict(&output(&[QUICK]), 101, Some(&other));
    assert!(
        !passed && printed.contains("quick failed"),
        "the listed one is in another file: {printed}"
    );
}

#[test]
fn same_test_names_in_two_packages_are_told_apart() {
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
fn two_programs_of_the_same_name_fail() {
    let twice = |text: String| text.replace("ottertiller_simulator_adapter", "ottertiller");
    let Verdict { passed, printed } = verdict_on(&twice(listing()), &twice(output(&[])), 0, None);
    assert!(
        !passed && printed.contains("same name: ottertiller/src/main.rs"),
        "{printed}"
    );
}

#[test]
fn a_listed_failure_is_passed_over_and_printed() {
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
fn a_failed_test_of_the_documentation_can_be_listed() {
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
        "node/tests/node.rs::slow | the clock stands still\n".to_owned(),
        SLOW_IS_KNOWN.replace("issue 7", "issue seven"),
        SLOW_IS_KNOWN.replace("the clock stands still", " "),
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
fn a_run_that_did_not_come_to_an_end_is_never_passed_over() {
    // A build that fails prints no test; a program that crashes prints no result; and not all can
    // be named.
    let build_failure = "error: could not compile `ottertiller-balancer`\n";
    assert!(!verdict(build_failure, 101, Some(SLOW_IS_KNOWN)).passed);
    let whole = output(&[SLOW]);
    let crashed = whole.replace("test result: FAILED", "signal: 11");
    assert!(!verdict(&crashed, 101, Some(SLOW_IS_KNOWN)).passed);
    let unnamed = whole.replace("1 failed", "2 failed");
    assert!(!verdict(&unnamed, 101, Some(SLOW_IS_KNOWN)).passed);
    let no_failure = verdict(&output(&[]), 101, Some(SLOW_IS_KNOWN));
    assert!(
        !no_failure.passed,
        "something ended badly, though no test failed"
    );
}
