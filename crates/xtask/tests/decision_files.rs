//! Tests of `xtask decisions`, which checks the files that a deploy file lists as `policy`.

mod support;

use support::Folder;

#[test]
fn decisions_are_existing_short_files_without_input_or_output() {
    const DECISION: &str =
        "use std::time::Duration;\n\nfn decide(now: Duration) -> bool {\n    now.is_zero()\n}\n";
    let check = |policy: &str, text: &str| {
        let deploy = format!("run = \"exec node\"\npolicy = [{policy}]   # the decisions\n");
        Folder::new(&[("deploy.toml", &deploy), ("src/decide.rs", text)])
            .run_xtask(&["decisions", "deploy.toml"])
    };
    let existing_file = "\"src/decide.rs\"";
    assert!(
        check(existing_file, DECISION).0,
        "{:?}",
        check(existing_file, DECISION)
    );
    // Blank lines do not count.
    assert!(check(existing_file, &"fn one() {}\n\n".repeat(399)).0);
    let io_calls = [
        "std::fs::read(\"a\")",
        "Instant::now()",
        "println!(\"a\")",
        "tokio::spawn(task)",
        "std::env::var(\"A\")",
    ];
    for call in io_calls {
        let (passed, printed) = check(
            existing_file,
            &format!("{DECISION}fn act() {{ {call}; }}\n"),
        );
        assert!(
            !passed && printed.contains("does input or output"),
            "{call}: {printed}"
        );
    }
    assert!(!check(existing_file, &"fn one() {}\n".repeat(400)).0);
    // A line may have 100 characters, of which `// ` takes three.
    assert!(check(existing_file, &format!("// {}\n", "a".repeat(97))).0);
    assert!(!check(existing_file, &format!("// {}\n", "a".repeat(98))).0);
    // The list needs at least one file, and all of them must be existing Rust files.
    assert!(!check("", DECISION).0);
    assert!(!check("\"src/decide.rs\", \"src/other.rs\"", DECISION).0);
    assert!(!check("\"src\"", DECISION).0);
}
