//! Tests of `xtask citations`, which checks that documentation pages cite existing tests, functions
//! and files.

mod support;

use support::Folder;

/// Output of `cargo test -- --list`.
const LISTING: &str =
    "     Running unittests src/main.rs (target/debug/deps/node_program-247230490af31305)
pool::tests::a_dial_fails: test
pool::tests::a_dial_succeeds: test

2 tests, 0 benchmarks
     Running tests/node/main.rs (target/debug/deps/node-86ca1bb43553c7bc)
limits::a_body_is_too_long: test

1 test, 0 benchmarks
     Running tests/memory.rs (target/debug/deps/memory-1)
tables_shrink: test

1 test, 0 benchmarks
   Doc-tests ottertiller_balancer
README.md - (line 1): test

1 test, 0 benchmarks
";

/// Returns whether the check passes on a page, and what it prints.
fn check(page: &str) -> (bool, String) {
    check_with_listing(page, LISTING)
}

/// Returns whether the check passes on a page with this listing, and what it prints.
fn check_with_listing(page: &str, listing: &str) -> (bool, String) {
    let folder = Folder::new(&[
        ("docs/page.md", page),
        ("docs/picture.txt", "`gone.rs`\n"),
        ("listing", listing),
        ("crates/node/src/driver.rs", "pub fn drive() {}\n"),
        ("crates/node/src/pool/mod.rs", "fn check_out() {}\n"),
        ("crates/node/src/pool/idle.rs", "struct Idle;\n"),
        ("crates/balancer/tests/memory.rs", "\n"),
        ("target/old.rs", "\n"),
    ]);
    folder.run_xtask(&["citations", "listing"])
}

#[test]
fn citations_of_tests_that_exist_pass() {
    for cited in [
        "node::limits::a_body_is_too_long",
        "limits::a_body_is_too_long",
        "..limits::a_body_is_too_long",
        "..::a_body_is_too_long",
        "node_program::pool::tests::a_dial_fails",
        "..pool::tests::a_dial_fails",
        "..pool::tests::a_dial_...",
        "node::limits::a_body_...",
        "node::limits::*",
        "node::*",
        "node_program::pool::tests::*",
        "node::",
        "memory::*",
        "balancer::memory::tables_shrink",
    ] {
        let (passed, printed) = check(&format!("| holds: `{cited}` |\n"));
        assert!(passed && printed.is_empty(), "{cited}: {printed}");
    }
}

#[test]
fn a_citation_that_matches_no_test_fails() {
    for cited in [
        "node::limits::a_body_is_too_short",
        "node::limits::a_body",
        "node::limits::body_is_too_long",
        "node::pool::tests::a_dial_fails",
        "nodes::limits::a_body_is_too_long",
        "limit::a_body_is_too_long",
        "..limit::a_body_is_too_long",
        "node_program::tests::a_dial_fails",
        "..pool::tests::a_dial_waits...",
        "node::limits::a_head_...",
        "node::pool::*",
        "node::limits::a_body_is_too_long::*",
        "nodes::",
        "node::memory::tables_shrink",
        "..::gone",
    ] {
        let (passed, printed) = check(&format!("text\n\n`Balancer` and `{cited}`, with `more`\n"));
        let expected = format!("citations: docs/page.md:3: `{cited}` names no test or function\n");
        assert!(!passed && printed == expected, "{cited}: {printed}");
    }
}

#[test]
fn functions_are_cited_with_the_module_of_their_file() {
    for cited in ["driver::drive", "node::driver::drive", "pool::check_out"] {
        let (passed, printed) = check(&format!("`{cited}`\n"));
        assert!(passed, "{cited}: {printed}");
    }
    for cited in [
        "driver::check_out",
        "pool::drive",
        "driver::driv",
        "driver::driv...",
    ] {
        assert!(!check(&format!("`{cited}`\n")).0, "{cited}");
    }
}

#[test]
fn a_file_is_cited_by_the_end_of_its_path() {
    for cited in ["driver.rs", "pool/idle.rs", "crates/node/src/driver.rs"] {
        let (passed, printed) = check(&format!("`{cited}`\n"));
        assert!(passed, "{cited}: {printed}");
    }
    for cited in [
        "river.rs",
        "idle/pool.rs",
        "pool.rs",
        "old.rs",
        "src/idle.rs",
        "../driver.rs",
    ] {
        let (passed, printed) = check(&format!("see `driver.rs` and `{cited}`\n"));
        let expected = format!("citations: docs/page.md:1: `{cited}` names no file\n");
        assert!(!passed && printed == expected, "{cited}: {printed}");
    }
}

#[test]
fn types_settings_blocks_and_old_names_are_not_citations() {
    let page = "\
`Balancer::route`, `Classes[].Target`, `Display::fmt`, `/health/ready`, `*.rs`, node::gone

```rust
use gone::gone; `gone.rs`
```

## Renamed

| before | now |
| --- | --- |
| `dispatcher.rs`, `dispatcher::tests::*` | `driver.rs` |
";
    let (passed, printed) = check(page);
    assert!(passed, "{printed}");
    let (passed, printed) = check(&page.replace("| `driver.rs`", "| `drover.rs`"));
    assert!(!passed && printed.contains("`drover.rs`"), "{printed}");
    let (passed, printed) = check(&format!("{page}\n## Next\n\n| `dispatcher.rs` |\n"));
    assert!(
        !passed && printed.contains("docs/page.md:15: `dispatcher.rs`"),
        "{printed}"
    );
}

#[test]
fn a_listing_without_tests_fails() {
    let (passed, printed) = check_with_listing("no citation\n", "error: could not compile\n");
    assert!(
        !passed && printed.contains("listing lists no test"),
        "{printed}"
    );
}
