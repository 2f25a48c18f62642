//! Reading files, and the error for files and folders that cannot be read.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// A file or folder that a check needs cannot be read.
#[derive(Debug, Error)]
#[error("cannot read {}", path.display())]
pub(crate) struct ReadError {
    /// The file or folder.
    path: PathBuf,
    /// Why it cannot be read.
    #[source]
    cause: io::Error,
}

impl ReadError {
    /// Returns a function that adds the path to an I/O error, for `map_err`.
    pub(crate) fn at(path: &Path) -> impl FnOnce(io::Error) -> Self + '_ {
        |cause| ReadError {
            path: path.to_path_buf(),
            cause,
        }
    }

    /// Returns whether the file or folder does not exist.
    pub(crate) fn is_not_found(&self) -> bool {
        self.cause.kind() == io::ErrorKind::NotFound
    }
}

/// Returns the text of a file, with invalid UTF-8 replaced by U+FFFD.
pub(crate) fn read_text(path: &Path) -> Result<String, ReadError> {
    let bytes = fs::read(path).map_err(ReadError::at(path))?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
