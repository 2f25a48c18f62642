//! Tests of `xtask cycles`, which finds modules that import one another in a cycle.

mod support;

use support::Folder;

/// Returns whether the check passes on a crate with these files in `src`, and what it prints.
fn check(files: &[(&str, &str)]) -> (bool, String) {
    let paths = files
        .iter()
        .map(|(file, _)| format!("crates/one/src/{file}"));
    let paths: Vec<String> = paths.collect();
    let texts = files.iter().map(|(_, text)| *text);
    let files: Vec<(&str, &str)> = paths.iter().map(String::as_str).zip(texts).collect();
    Folder::new(&files).run_xtask(&["cycles"])
}

#[test]
fn two_modules_that_import_each_other_are_a_cycle() {
    for import in [
        "use crate::b::B;",
        "use super::b;",
        "pub(crate) use crate::b::{self as other, B};",
        "use {std::fmt, crate::{c::C, b::{B, deep::D}}};",
        "fn f() -> crate::b::B { todo!() }",
        "fn f() { super::b::g() }",
        "use crate::\n    b::B\n;",
    ] {
        let (passed, printed) = check(&[
            ("lib.rs", "mod a;\nmod b;\n"),
            ("a.rs", import),
            ("b.rs", "use crate::a::A;\n"),
            ("c.rs", "pub struct C;\n"),
        ]);
        let cycle = "cycles: crates/one/src: a cycle of 2 modules\n  a -> b\n  b -> a\n";
        assert!(!passed && printed == cycle, "{import}: {printed}");
    }
}

#[test]
fn a_longer_cycle_through_folders_is_found_once() {
    let (passed, printed) = check(&[
        ("main.rs", "use a::A;\n"),
        ("a/mod.rs", "pub mod inner;\n"),
        ("a/inner.rs", "use crate::b::B;\n"),
        ("b.rs", "mod deep;\nuse crate::c::C;\n"),
        ("b/deep.rs", "use super::super::c;\n"),
        ("c.rs", "use crate::a::inner::Inner;\nuse crate::d::D;\n"),
        ("d.rs", "pub struct D;\n"),
    ]);
    let cycle = "cycles: crates/one/src: a cycle of 3 modules\n  \
                  a::inner -> b\n  b -> c\n  c -> a::inner\n";
    assert!(!passed && printed == cycle, "{printed}");
}

#[test]
fn each_cycle_of_each_crate_is_found() {
    let pair = |folder: &str| {
        let path = |name: &str| format!("crates/{folder}/{name}.rs");
        let import = |name: &str| format!("use super::{name}::X;\n");
        [(path("a"), import("b")), (path("b"), import("a"))]
    };
    let files = [pair("one/src"), pair("one/src/deep"), pair("two/src")].concat();
    let files: Vec<(&str, &str)> = files
        .iter()
        .map(|(p, t)| (p.as_str(), t.as_str()))
        .collect();
    let (passed, printed) = Folder::new(&files).run_xtask(&["cycles", "crates"]);
    assert!(!passed);
    assert_eq!(printed.matches("a cycle of 2 modules").count(), 3);
    assert!(printed.contains("  deep::a -> deep::b\n"), "{printed}");
    assert!(printed.contains("crates/two/src: a cycle"), "{printed}");
}

#[test]
fn imports_without_a_cycle_pass() {
    let (passed, printed) = check(&[
        ("lib.rs", "mod a;\npub use a::A;\nuse crate::b::B;\n"),
        // A module may import from its submodules, and they from it.
        (
            "a.rs",
            "mod inner;\npub use inner::Inner;\nuse crate::b::B;\n",
        ),
        ("a/inner.rs", "use super::A;\nuse crate::b::B;\n"),
        // Paths in comments, test files, visibilities and other crates do not count.
        (
            "b.rs",
            "// use crate::a::A;\n/// See [`crate::a::A`].\nuse other::a::A;\npub(in crate::a) struct B;\n",
        ),
        ("b/tests.rs", "use crate::a::A;\n"),
        ("tests/c.rs", "use crate::a::A;\n"),
    ]);
    assert!(passed && printed.is_empty(), "{printed}");
}

#[test]
fn a_folder_without_crates_fails() {
    let folder = Folder::new(&[("crates/one/lib.rs", "\n")]);
    let (passed, printed) = folder.run_xtask(&["cycles"]);
    assert!(
        !passed && printed.contains("no crate in crates"),
        "{printed}"
    );
    let (passed, printed) = folder.run_xtask(&["cycles", "gone"]);
    assert!(!passed && printed.contains("cannot read gone"), "{printed}");
}
