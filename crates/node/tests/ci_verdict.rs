//! What CI makes of a run of the tests, with and without tests that are known to fail.

use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};

const TESTS: &str = "     Running unittests src/lib.rs (target/debug/deps/ottertiller_balancer-1)
quick: test

1 test, 0 benchmarks
     Running tests/node.rs (target/debug/deps/node-1)
quick: test
slow: test

2 tests, 0 benchmarks
   Doc-tests ottertiller_balancer
README.md - (line 1): test

1 test, 0 benchmarks
";

/// The output of a run in which these tests of `tests/node.rs` failed.
fn output(failed: &[&str]) -> String {
    let good =
        "\ntest result: ok. 1 passed; 0 failed; 0 ignored; 0 measured; 0 filtered out; finished in 0.00s\n";
    let result = if failed.is_empty() {
        good.replace("1 passed", "2 passed")
    } else {
        let names: String = failed.iter().map(|name| format!("    {name}\n")).collect();
        let counts = format!("{} passed; {} failed", 2 - failed.len(), failed.len());
        let said: String =
            failed.iter().map(|name| format!("---- {name} stdout ----\n    left: 1\n")).collect();
        format!(
            "\nfailures:\n\n{said}\nfailures:\n{names}\ntest result: FAILED. {counts}; 0 ignored; 0 measured\n"
        )
    };
    format!(
        "     Running unittests src/lib.rs (target/debug/deps/ottertiller_balancer-1)\ntest quick ... ok\n{good}     \
         Running tests/node.rs (target/debug/deps/node-1)\n{result}   Doc-tests ottertiller_balancer\n{good}"
    )
}

/// Whether CI passes, and what it says.
fn verdict(output: &str, status: i32, known: Option<&str>) -> (bool, String) {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    let folder =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("verdict-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = |name: &str, text: &str| {
        std::fs::write(folder.join(name), text).expect("a file");
        folder.join(name)
    };
    let mut command = Command::new(Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/verdict"));
    command.arg(file("tests", TESTS)).arg(file("output", output)).arg(status.to_string());
    command.arg(known.map_or(folder.join("none"), |known| file("known", known)));
    let ended = command.output().expect("it runs");
    std::fs::remove_dir_all(&folder).expect("its folder");
    (ended.status.success(), String::from_utf8_lossy(&ended.stdout).into_owned())
}

const SLOW: &str = "tests/node.rs::slow | the clock stands still | issue 7\n";

#[test]
fn a_run_without_failures_passes_and_any_other_failure_does_not() {
    assert!(verdict(&output(&[]), 0, None).0);
    let (passed, said) = verdict(&output(&["slow"]), 101, None);
    assert!(!passed && said.contains("tests/node.rs::slow failed"), "{said}");
    assert!(!verdict(&output(&["quick", "slow"]), 101, Some(SLOW)).0, "one of them is not listed");
    let other = SLOW.replace("tests/node.rs::slow", "src/lib.rs::quick");
    assert!(
        !verdict(&output(&["quick"]), 101, Some(&other)).0,
        "the listed one has its name in another file"
    );
}

#[test]
fn a_listed_failure_is_passed_over_and_printed() {
    let (passed, said) = verdict(&output(&["slow"]), 101, Some(SLOW));
    assert!(passed && said.contains(SLOW.trim_end()), "{said}");
    let (passed, said) = verdict(&output(&[]), 0, Some(SLOW));
    assert!(passed && said.contains("it passes: tests/node.rs::slow"), "{said}");
}

#[test]
fn a_list_that_is_not_in_order_fails() {
    let name = |name: &str| SLOW.replace("tests/node.rs::slow", name);
    let four = [SLOW.to_owned(), name("tests/node.rs::quick"), name("src/lib.rs::quick")].concat()
        + &name("doc::README.md - (line 1)");
    let cases = [
        "tests/node.rs::slow\n".to_owned(),
        "tests/node.rs::slow | the clock stands still\n".to_owned(),
        SLOW.replace("issue 7", "issue seven"),
        SLOW.replace("the clock stands still", " "),
        format!("{SLOW}\n"),
        format!("{SLOW}{SLOW}"),
        name("tests/node.rs::gone"),
        name("slow"),
        four,
    ];
    for known in cases {
        assert!(!verdict(&output(&["slow"]), 101, Some(&known)).0, "{known}");
        assert!(!verdict(&output(&[]), 0, Some(&known)).0, "{known}");
    }
}

#[test]
fn what_did_not_come_to_an_end_is_never_passed_over() {
    // A build that fails prints no test; a program that crashes prints no result; and not all can be named.
    assert!(!verdict("error: could not compile `ottertiller-balancer`\n", 101, Some(SLOW)).0);
    let whole = output(&["slow"]);
    let crashed = whole.replace("test result: FAILED", "signal: 11");
    assert!(!verdict(&crashed, 101, Some(SLOW)).0);
    let unnamed = whole.replace("1 failed", "2 failed");
    assert!(!verdict(&unnamed, 101, Some(SLOW)).0);
    assert!(!verdict(&output(&[]), 101, Some(SLOW)).0, "something ended badly, though no test did");
}
