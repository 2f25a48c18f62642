//! Prints errors with their causes.

use std::error::Error;
use std::fmt::{self, Display, Formatter};

/// An error and its causes in one line, the outermost first: `what happened: subject: cause`.
struct ErrorChain<'a>(&'a dyn Error);

impl Display for ErrorChain<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)?;
        let mut cause = self.0.source();
        while let Some(error) = cause {
            write!(formatter, ": {error}")?;
            cause = error.source();
        }
        Ok(())
    }
}

/// Returns what prints an error and all its causes in one line.
///
/// The errors' own texts say only what their layer knows, and leave the cause to `source`.
pub fn error_chain(error: &dyn Error) -> impl Display {
    ErrorChain(error)
}

#[cfg(test)]
mod tests;
