//! Regular expressions that are part of the program.

use regex::Regex;

/// Compiles a regular expression that is part of the program.
pub(crate) fn pattern(text: &str) -> Regex {
    Regex::new(text).expect("the pattern is well-formed")
}
