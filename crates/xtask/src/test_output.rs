//! Parses the output of `cargo test`: the test programs that it runs, their tests, and the failed
//! tests.

/// A test program, as cargo announces it before it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TestProgram {
    /// The name of the program without its hash, such as `node`; for documentation tests, the
    /// crate.
    pub name: String,
    /// The source file that cargo prints, such as `tests/node/main.rs`, or `doc-tests` for
    /// documentation tests.
    pub source: String,
}

impl TestProgram {
    /// Parses a line that announces a program, such as
    /// `     Running tests/node/main.rs (target/debug/deps/node-0123456789abcdef)` or
    /// `   Doc-tests ottertiller_balancer`. Returns `None` for any other line.
    fn parse_announcement(line: &str) -> Option<Self> {
        let announcement = line.strip_prefix(' ')?.trim_start_matches(' ');
        if let Some(name) = announcement.strip_prefix("Doc-tests ") {
            return Some(TestProgram {
                name: first_word(name),
                source: "doc-tests".to_string(),
            });
        }
        let target = announcement.strip_prefix("Running ")?;
        let source = target.strip_prefix("unittests ").unwrap_or(target);
        let path = line.strip_suffix(')').unwrap_or(line);
        let (_, file) = path.rsplit_once('/').unwrap_or(("", path));
        Some(TestProgram {
            name: without_hash(file).to_string(),
            source: first_word(source),
        })
    }

    /// Returns the name that `KNOWN-RED.txt` uses for the program: `PROGRAM/PATH`, where `PROGRAM`
    /// is the field `name` and `PATH` the field `source`.
    pub(crate) fn full_name(&self) -> String {
        format!("{}/{}", self.name, self.source)
    }
}

/// Returns the first word of a text, or an empty text if it has none.
fn first_word(text: &str) -> String {
    let word = text.split_whitespace().next();
    word.unwrap_or_default().to_string()
}

/// Returns the name of a program without the hash that cargo adds.
fn without_hash(file: &str) -> &str {
    match file.rsplit_once('-') {
        Some((name, hash)) if is_hash(hash) => name,
        _ => file,
    }
}

/// Returns whether the text consists of lower-case hexadecimal digits.
fn is_hash(text: &str) -> bool {
    let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    !text.is_empty() && text.bytes().all(is_digit)
}

/// A test and the program that it belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Test {
    /// The program that was announced last before the test, if any.
    pub program: Option<TestProgram>,
    /// The path of the test in its program, such as `discovery::indented_list_is_parsed`.
    pub path: String,
}

impl Test {
    /// Returns the name that `KNOWN-RED.txt` uses for the test: `PROGRAM/PATH::NAME`, where
    /// `PROGRAM/PATH` is the full name of the program, or empty without a program, and `NAME` is
    /// the field `path`.
    pub(crate) fn full_name(&self) -> String {
        let program = self.program.as_ref().map(TestProgram::full_name);
        format!("{}::{}", program.unwrap_or_default(), self.path)
    }
}

/// Returns the announced test programs, in the order of their announcements.
pub(crate) fn announced_programs(output: &str) -> Vec<TestProgram> {
    lines(output)
        .filter_map(TestProgram::parse_announcement)
        .collect()
}

/// Returns the tests in the output of `cargo test -- --list`.
pub(crate) fn listed_tests(listing: &str) -> Vec<Test> {
    lines_with_programs(listing)
        .filter_map(|(program, line)| {
            let path = line.strip_suffix(": test")?.to_string();
            Some(Test { program, path })
        })
        .collect()
}

/// Returns the lines that may name failed tests: those under `failures:` with an indent of exactly
/// four spaces. Lines that the tests printed can look the same, so the caller must look the names
/// up among the existing tests.
pub(crate) fn failed_test_candidates(output: &str) -> Vec<Test> {
    let mut in_failures = false;
    let mut tests = Vec::new();
    for (program, line) in lines_with_programs(output) {
        if line == "failures:" {
            in_failures = true;
        } else if line.starts_with("test result:") {
            in_failures = false;
        }
        let indented = line.strip_prefix("    ");
        let name = indented.filter(|name| !name.is_empty() && !name.starts_with(' '));
        if let Some(name) = name.filter(|_| in_failures) {
            let path = name.to_string();
            tests.push(Test { program, path });
        }
    }
    tests
}

/// Counts the test programs that printed a result.
pub(crate) fn count_finished_programs(output: &str) -> usize {
    result_lines(output).count()
}

/// Returns the sum of the failed tests in the results of all test programs.
pub(crate) fn count_failed_tests(output: &str) -> usize {
    result_lines(output).map(failed_tests_in_result).sum()
}

/// Returns the lines in which test programs report their results.
fn result_lines(output: &str) -> impl Iterator<Item = &str> {
    lines(output).filter(|line| line.starts_with("test result:"))
}

/// Returns the sum of the numbers before `failed;` in a line such as
/// `test result: FAILED. 7 passed; 1 failed; 0 ignored`. The result of one program has one such
/// number; if a line has several, they are added.
fn failed_tests_in_result(line: &str) -> usize {
    let words: Vec<&str> = line.split_whitespace().collect();
    let pairs = words.windows(2);
    let counts = pairs.filter(|pair| pair[1] == "failed;");
    counts
        .filter_map(|pair| pair[0].parse::<usize>().ok())
        .sum()
}

/// Returns each line with the program that was announced last.
fn lines_with_programs(output: &str) -> impl Iterator<Item = (Option<TestProgram>, &str)> {
    let mut program = None;
    lines(output).map(move |line| {
        if let Some(announced) = TestProgram::parse_announcement(line) {
            program = Some(announced);
        }
        (program.clone(), line)
    })
}

/// Splits the output at `\n`. Unlike `str::lines`, it keeps a carriage return at the end of a line:
/// cargo and the test programs are assumed to end their own lines with `\n` alone, so that a line
/// that ends with `\r\n` differs from theirs.
fn lines(output: &str) -> impl Iterator<Item = &str> {
    output.split_terminator('\n')
}
