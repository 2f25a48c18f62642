//! Errors as the programs print them.
//!
//! An error's own text says what its layer knows, and `source` gives the cause. So an error is
//! printed with its whole chain of causes.

use std::error::Error;
use std::fmt;

/// Displays an error and its causes in one line, the outermost first, separated by colons.
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
