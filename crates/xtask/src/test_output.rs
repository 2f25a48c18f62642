//! What `cargo test` prints: which test programs it runs, their tests, and those that failed.

/// A test program as cargo announces it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TestProgram {
    /// The program without its hash, such as `node`; for tests of the documentation, the crate.
    pub name: String,
    /// The source file that cargo prints, such as `tests/node/main.rs`, or `doc-tests`.
    pub source: String,
}

impl TestProgram {
    /// Reads the line that announces a program: `     Running tests/node/main.rs
    /// (target/debug/deps/node-0123456789abcdef)` or `   Doc-tests ottertiller_balancer`.
    fn announced_in(line: &str) -> Option<Self> {
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

    /// Returns the name of the program in `KNOWN-RED.txt`: `PROGRAM/PATH`.
    pub(crate) fn full_name(&self) -> String {
        format!("{}/{}", self.name, self.source)
    }
}

/// Returns the text up to the first space.
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

/// Returns whether the text has hexadecimal digits only.
fn is_hash(text: &str) -> bool {
    let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    !text.is_empty() && text.bytes().all(is_digit)
}

/// A test and the program that it is a part of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Test {
    /// The program, unless the test came before any announcement.
    pub program: Option<TestProgram>,
    /// The path of the test in its program, such as `discovery::indented_list_is_parsed`.
    pub path: String,
}

impl Test {
    /// Returns the name of the test in `KNOWN-RED.txt`: `PROGRAM/PATH::NAME`.
    pub(crate) fn full_name(&self) -> String {
        let program = self.program.as_ref().map(TestProgram::full_name);
        format!("{}::{}", program.unwrap_or_default(), self.path)
    }
}

/// Returns the test programs that are announced, in their order.
pub(crate) fn announced_programs(output: &str) -> Vec<TestProgram> {
    lines(output)
        .filter_map(TestProgram::announced_in)
        .collect()
}

/// Returns the tests that `cargo test -- --list` printed.
pub(crate) fn listed_tests(listing: &str) -> Vec<Test> {
    with_programs(listing)
        .filter_map(|(program, line)| {
            let path = line.strip_suffix(": test")?.to_string();
            Some(Test { program, path })
        })
        .collect()
}

/// Returns what stands under `failures:`: the names of failed tests, and other indented lines that
/// the tests printed.
pub(crate) fn failure_lines(output: &str) -> Vec<Test> {
    let mut in_failures = false;
    let mut tests = Vec::new();
    for (program, line) in with_programs(output) {
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

/// Counts the test programs that came to an end.
pub(crate) fn count_results(output: &str) -> usize {
    result_lines(output).count()
}

/// Sums up the failures that the test programs counted.
pub(crate) fn count_failures(output: &str) -> usize {
    result_lines(output).map(failures_in_result).sum()
}

/// Returns the lines in which programs count their results.
fn result_lines(output: &str) -> impl Iterator<Item = &str> {
    lines(output).filter(|line| line.starts_with("test result:"))
}

/// Reads the count before each `failed;` of a line such as `test result: FAILED. 7 passed; 1
/// failed; 0 ignored`.
fn failures_in_result(line: &str) -> usize {
    let words: Vec<&str> = line.split_whitespace().collect();
    let pairs = words.windows(2);
    let counts = pairs.filter(|pair| pair[1] == "failed;");
    counts
        .filter_map(|pair| pair[0].parse::<usize>().ok())
        .sum()
}

/// Returns each line with the program that was announced last.
fn with_programs(output: &str) -> impl Iterator<Item = (Option<TestProgram>, &str)> {
    let mut program = None;
    lines(output).map(move |line| {
        if let Some(announced) = TestProgram::announced_in(line) {
            program = Some(announced);
        }
        (program.clone(), line)
    })
}

/// Returns the lines as they are. A carriage return stays a part of its line.
fn lines(output: &str) -> impl Iterator<Item = &str> {
    output.split_terminator('\n')
}
