//! The check of the layout of the sources.

mod support;

use support::Folder;

const MAX_LINES: usize = 400;

/// Whether the check passes on these files, and what it prints.
fn check(files: &[(&str, &str)]) -> (bool, String) {
    Folder::new(files).xtask(&["sources", "."])
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
fn every_form_of_the_test_attribute_counts() {
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
fn files_have_a_limit_of_non_blank_lines() {
    let line = "fn one() {}\n\n   \n";
    let longest = line.repeat(MAX_LINES);
    let (passed, printed) = check(&[("src/part.rs", &longest)]);
    assert!(passed, "{printed}");
    let too_long = line.repeat(MAX_LINES + 1);
    for file in ["src/part.rs", "tests/part.rs"] {
        let (passed, printed) = check(&[(file, &too_long)]);
        assert!(
            !passed && printed.contains("has 401 non-blank lines of 400"),
            "{file}: {printed}"
        );
    }
}

#[test]
fn a_folder_without_sources_fails() {
    assert!(!check(&[("src/part.txt", "text\n")]).0);
}
