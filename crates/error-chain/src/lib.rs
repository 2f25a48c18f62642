//! Formats an error together with its causes, for log lines and messages on standard error.
//!
//! The `Display` text of each error type describes the failure in its own layer only, and `source`
//! returns the cause, so the text of one error alone does not show the root cause.

use std::error::Error;
use std::fmt;

/// Displays an error and its causes on one line, outermost first, separated by `: `.
pub struct ErrorChain<'a>(pub &'a dyn Error);

impl fmt::Display for ErrorChain<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)?;
        let mut source = self.0.source();
        while let Some(error) = source {
            write!(formatter, ": {error}")?;
            source = error.source();
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
