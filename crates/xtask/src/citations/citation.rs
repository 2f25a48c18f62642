//! What a code span cites.

/// Something that is checked.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Citation<'a> {
    /// A Rust file, by the end of its path.
    File(&'a str),
    /// A test or a function.
    Name(CitedName<'a>),
}

/// The name of a test or a function, or of a group of tests.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct CitedName<'a> {
    /// The whole segments in front.
    pub modules: Vec<&'a str>,
    /// What the last segment says.
    pub last: LastSegment<'a>,
}

/// The last segment of a name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LastSegment<'a> {
    /// The whole name: `NAME`.
    Whole(&'a str),
    /// The beginning of the name: `BEGINNING...`.
    Beginning(&'a str),
    /// All that is below the modules: `*`, or nothing.
    Any,
}

impl<'a> Citation<'a> {
    /// Reads a code span; `None` if it cites nothing that is checked.
    pub(super) fn parse(span: &'a str) -> Option<Self> {
        if span.contains("::") {
            return CitedName::parse(span).map(Citation::Name);
        }
        let is_in_path = |byte: u8| byte.is_ascii_alphanumeric() || b"_-./".contains(&byte);
        let is_file = span.ends_with(".rs") && span.bytes().all(is_in_path);
        is_file.then_some(Citation::File(span))
    }
}

impl<'a> CitedName<'a> {
    /// Reads a span with `::`; returns `None` for the name of a type or of something within it.
    fn parse(span: &'a str) -> Option<Self> {
        let name = span.strip_prefix("..").unwrap_or(span);
        let (modules, last) = name.rsplit_once("::")?;
        let modules: Vec<&str> = modules.split("::").filter(|m| !m.is_empty()).collect();
        let last = match last.strip_suffix("...") {
            Some(beginning) => LastSegment::Beginning(beginning),
            None if last.is_empty() || last == "*" => LastSegment::Any,
            None => LastSegment::Whole(last),
        };
        let segments_are_names = modules.iter().all(|module| is_name(module)) && last.is_name();
        segments_are_names.then_some(CitedName { modules, last })
    }

    /// Returns whether a test with these segments is meant.
    pub(super) fn fits(&self, test: &[&str]) -> bool {
        (0..test.len()).any(|start| self.fits_whole(&test[start..]))
    }

    /// Returns whether these segments, from the first on, are what is meant.
    fn fits_whole(&self, segments: &[&str]) -> bool {
        let Some(rest) = segments.strip_prefix(self.modules.as_slice()) else {
            return false;
        };
        match (self.last, rest) {
            (LastSegment::Whole(name), [last]) => *last == name,
            (LastSegment::Beginning(beginning), [last]) => last.starts_with(beginning),
            (LastSegment::Any, rest) => !rest.is_empty(),
            _ => false,
        }
    }
}

impl LastSegment<'_> {
    /// Returns whether what is given of the name could be that of a test or function.
    fn is_name(self) -> bool {
        match self {
            LastSegment::Whole(name) | LastSegment::Beginning(name) => is_name(name),
            LastSegment::Any => true,
        }
    }
}

/// Returns whether this is the name of a module or function, not of a type.
fn is_name(segment: &str) -> bool {
    let is_in_name = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'_');
    !segment.is_empty() && segment.bytes().all(is_in_name)
}
