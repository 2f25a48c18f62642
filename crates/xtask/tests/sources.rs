//! Tests of `xtask sources`, which checks the length of source files and the place of tests.

mod support;

use support::Folder;

/// The maximum number of non-blank lines that a source file may have.
const MAX_NON_BLANK_LINES: usize = 400;

/// Returns whether the check passes on these files, and what it prints.
fn check(files: &[(&str, &str)]) -> (bool, String) {
    Folder::new(files).run_xtask(&["sources", "."])
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
        let (passed, printed) = check(&[(file, test)]);
        assert!(passed, "{file}: {printed}");
    }
    for file in [
        "crate/src/part.rs",
        "crate/src/part_test.rs",
        "crate/src/tests_of_part.rs",
    ] {
        let (passed, printed) = check(&[("crate/src/tests.rs", test), (file, test)]);
        assert!(
            !passed && printed.contains(&format!("{file} has tests")),
            "{file}: {printed}"
        );
        assert!(!printed.contains("src/tests.rs has tests"), "{printed}");
    }
}

#[test]
fn every_form_of_the_test_attribute_is_recognized() {
    for attribute in [
        "#[test]",
        "    #[test]",
        "#[tokio::test]",
        "#[tokio::test(start_paused = true)]",
    ] {
        let text = format!("mod part {{\n{attribute}\nfn works() {{}}\n}}\n");
        assert!(!check(&[("src/part.rs", &text)]).0, "{attribute}");
    }
    let declaration = "#[cfg(test)]\n#[path = \"part_tests.rs\"]\nmod tests;\n";
    let (passed, printed) = check(&[("src/part.rs", declaration)]);
    assert!(passed, "{printed}");
}

#[test]
fn files_with_more_than_400_non_blank_lines_fail() {
    let line = "fn one() {}\n\n   \n";
    let longest = line.repeat(MAX_NON_BLANK_LINES);
    let (passed, printed) = check(&[("src/part.rs", &longest)]);
    assert!(passed, "{printed}");
    let too_long = line.repeat(MAX_NON_BLANK_LINES + 1);
    for file in ["src/part.rs", "tests/part.rs"] {
        let (passed, printed) = check(&[(file, &too_long)]);
        assert!(
            !passed && printed.contains("has 401 non-blank lines; at most 400 are allowed"),
            "{file}: {printed}"
        );
    }
}

#[test]
fn a_folder_without_sources_fails() {
    assert!(!check(&[("src/part.txt", "text\n")]).0);
}
