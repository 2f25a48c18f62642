//! CI's checks of the layout of the sources, and of the decision module.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};

const MAX_LINES: usize = 400;

/// A folder with sources, removed at the end of its test.
struct Sources(PathBuf);

impl Sources {
    fn new(files: &[(&str, &str)]) -> Self {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let name = format!("sources-{}-{number}", std::process::id());
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        for (file, text) in files {
            let path = folder.join(file);
            std::fs::create_dir_all(path.parent().expect("a folder")).expect("a folder");
            std::fs::write(path, text).expect("a file");
        }
        Sources(folder)
    }

    /// Whether the check of the layout passes, and what it prints.
    fn check(&self) -> (bool, String) {
        self.run("check-sources", ".")
    }

    /// The same of the check of the decision module, whose files `deploy.toml` names.
    fn check_decisions(&self) -> (bool, String) {
        self.run("check-decisions", "deploy.toml")
    }

    fn run(&self, script: &str, argument: &str) -> (bool, String) {
        let script = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../../.ci")
            .join(script);
        let ended = Command::new(script)
            .arg(argument)
            .current_dir(&self.0)
            .output()
            .expect("it runs");
        (
            ended.status.success(),
            String::from_utf8_lossy(&ended.stdout).into_owned(),
        )
    }
}

impl Drop for Sources {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn tests_are_allowed_in_test_files_only() {
    let test = "fn helper() {}\n\n#[test]\nfn works() {}\n";
    for file in [
        "crate/tests/a.rs",
        "crate/tests/deep/a.rs",
        "crate/src/part/tests.rs",
        "crate/src/part_tests.rs",
    ] {
        let (passed, printed) = Sources::new(&[(file, test)]).check();
        assert!(passed, "{file}: {printed}");
    }
    for file in [
        "crate/src/part.rs",
        "crate/src/part_test.rs",
        "crate/src/tests_of_part.rs",
    ] {
        let sources = Sources::new(&[("crate/src/tests.rs", test), (file, test)]);
        let (passed, printed) = sources.check();
        assert!(
            !passed && printed.contains(&format!("{file} has tests")),
            "{file}: {printed}"
        );
        assert!(!printed.contains("src/tests.rs has tests"), "{printed}");
    }
}

#[test]
fn every_form_of_the_test_attribute_counts() {
    for attribute in [
        "#[test]",
        "    #[test]",
        "#[tokio::test]",
        "#[tokio::test(start_paused = true)]",
    ] {
        let text = format!("mod part {{\n{attribute}\nfn works() {{}}\n}}\n");
        assert!(
            !Sources::new(&[("src/part.rs", &text)]).check().0,
            "{attribute}"
        );
    }
    let declaration = "#[cfg(test)]\n#[path = \"part_tests.rs\"]\nmod tests;\n";
    let (passed, printed) = Sources::new(&[("src/part.rs", declaration)]).check();
    assert!(passed, "{printed}");
}

#[test]
fn files_have_a_limit_of_non_blank_lines() {
    let line = "fn one() {}\n\n   \n";
    let longest = line.repeat(MAX_LINES);
    let (passed, printed) = Sources::new(&[("src/part.rs", &longest)]).check();
    assert!(passed, "{printed}");
    let too_long = line.repeat(MAX_LINES + 1);
    for file in ["src/part.rs", "tests/part.rs"] {
        let (passed, printed) = Sources::new(&[(file, &too_long)]).check();
        assert!(
            !passed && printed.contains("has 401 non-blank lines of 400"),
            "{file}: {printed}"
        );
    }
}

#[test]
fn a_folder_without_sources_fails() {
    assert!(!Sources::new(&[("src/part.txt", "text\n")]).check().0);
}

#[test]
fn decisions_are_files_that_exist_do_no_input_or_output_and_are_not_long() {
    const DECISION: &str =
        "use std::time::Duration;\n\nfn decide(now: Duration) -> bool {\n    now.is_zero()\n}\n";
    let check = |policy: &str, text: &str| {
        let deploy = format!("run = \"exec node\"\npolicy = [{policy}]   # the decisions\n");
        Sources::new(&[("deploy.toml", &deploy), ("src/decide.rs", text)]).check_decisions()
    };
    let good = "\"src/decide.rs\"";
    assert!(check(good, DECISION).0, "{:?}", check(good, DECISION));
    assert!(check(good, &"fn one() {}\n\n".repeat(399)).0);
    let io = [
        "std::fs::read(\"a\")",
        "Instant::now()",
        "println!(\"a\")",
        "tokio::spawn(task)",
        "std::env::var(\"A\")",
    ];
    for call in io {
        let (passed, printed) = check(good, &format!("{DECISION}fn act() {{ {call}; }}\n"));
        assert!(
            !passed && printed.contains("does input or output"),
            "{call}: {printed}"
        );
    }
    assert!(!check(good, &"fn one() {}\n".repeat(400)).0);
    assert!(!check(good, &format!("// {}\n", "a".repeat(108))).0);
    assert!(!check("", DECISION).0);
    assert!(!check("\"src/decide.rs\", \"src/other.rs\"", DECISION).0);
    assert!(!check("\"src\"", DECISION).0);
}
