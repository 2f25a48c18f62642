//! Parses the citations in code spans.

/// A citation that the check covers.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Citation<'a> {
    /// The end of the path of a Rust file.
    File(&'a str),
    /// The name of a test, a function or a group of tests.
    Name(CitedName<'a>),
}

/// The name of a test or a function, or of a group of tests.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct CitedName<'a> {
    /// The segments before the last one.
    pub modules: Vec<&'a str>,
    /// The last segment, which may be abbreviated.
    pub last: LastSegment<'a>,
}

/// The last segment of a cited name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LastSegment<'a> {
    /// The exact name: `NAME`.
    Exact(&'a str),
    /// The start of the name: `PREFIX...`.
    Prefix(&'a str),
    /// All tests in the modules: `*`, or nothing after the last `::`.
    Any,
}

impl<'a> Citation<'a> {
    /// Parses a code span. Returns `None` if it holds no citation that the check covers.
    pub(super) fn parse(span: &'a str) -> Option<Self> {
        if span.contains("::") {
            return CitedName::parse(span).map(Citation::Name);
        }
        let is_path_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"_-./".contains(&byte);
        let is_file = span.ends_with(".rs") && span.bytes().all(is_path_byte);
        is_file.then_some(Citation::File(span))
    }
}

impl<'a> CitedName<'a> {
    /// Parses a code span that contains `::`. Returns `None` if a segment is not in snake case, as
    /// in the name of a type.
    fn parse(span: &'a str) -> Option<Self> {
        let name = span.strip_prefix("..").unwrap_or(span);
        let (modules, last) = name.rsplit_once("::")?;
        let modules: Vec<&str> = modules.split("::").filter(|m| !m.is_empty()).collect();
        let last = match last.strip_suffix("...") {
            Some(prefix) => LastSegment::Prefix(prefix),
            None if last.is_empty() || last == "*" => LastSegment::Any,
            None => LastSegment::Exact(last),
        };
        let is_valid = modules.iter().all(|module| is_snake_case(module)) && last.is_valid();
        is_valid.then_some(CitedName { modules, last })
    }

    /// Returns whether the name matches the segments of a test's full name, from any segment on.
    pub(super) fn matches(&self, test: &[&str]) -> bool {
        (0..test.len()).any(|start| self.matches_from_start(&test[start..]))
    }

    /// Returns whether the name matches the segments from the first one on.
    fn matches_from_start(&self, segments: &[&str]) -> bool {
        let Some(rest) = segments.strip_prefix(self.modules.as_slice()) else {
            return false;
        };
        match (self.last, rest) {
            (LastSegment::Exact(name), [last]) => *last == name,
            (LastSegment::Prefix(prefix), [last]) => last.starts_with(prefix),
            (LastSegment::Any, rest) => !rest.is_empty(),
            _ => false,
        }
    }
}

impl LastSegment<'_> {
    /// Returns whether a test or function can have this name or a name with this prefix.
    fn is_valid(self) -> bool {
        match self {
            LastSegment::Exact(name) | LastSegment::Prefix(name) => is_snake_case(name),
            LastSegment::Any => true,
        }
    }
}

/// Returns whether the segment can name a module or function, but not a type.
fn is_snake_case(segment: &str) -> bool {
    let is_name_byte = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'_');
    !segment.is_empty() && segment.bytes().all(is_name_byte)
}
