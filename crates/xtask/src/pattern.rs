//! Compilation of the regular expressions that the checks use.

use regex::Regex;

/// Compiles a regular expression of the source code; panics if it is malformed.
pub(crate) fn pattern(text: &str) -> Regex {
    Regex::new(text).expect("the pattern is well-formed")
}
