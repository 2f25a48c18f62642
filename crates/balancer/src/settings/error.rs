//! Errors of reading a settings file.

use std::fmt;

/// The reason why a settings file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file is not valid JSON, or its JSON does not match the schema.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// `Classes` is an empty list.
    #[error("no classes: `Classes` must list at least one request class")]
    NoClasses,
}

/// Text that is not valid JSON or does not match the expected type. The message names the path of
/// the key, such as `Classes[2].Target`, and includes the parser's message. The error therefore has
/// no [`source`](std::error::Error::source).
#[derive(Debug)]
pub struct JsonError {
    /// The path of the key; empty if the error concerns the text as a whole.
    key: String,
    cause: serde_json::Error,
}

impl From<serde_path_to_error::Error<serde_json::Error>> for JsonError {
    fn from(error: serde_path_to_error::Error<serde_json::Error>) -> Self {
        let is_whole_text = error.path().iter().next().is_none();
        let key = if is_whole_text {
            String::new()
        } else {
            error.path().to_string()
        };
        JsonError {
            key,
            cause: error.into_inner(),
        }
    }
}

impl From<serde_json::Error> for JsonError {
    fn from(cause: serde_json::Error) -> Self {
        JsonError {
            key: String::new(),
            cause,
        }
    }
}

impl fmt::Display for JsonError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.key.is_empty() {
            write!(formatter, "{}: ", self.key)?;
        }
        write!(formatter, "{}", self.cause)
    }
}

impl std::error::Error for JsonError {}
