//! Why a settings file is refused.

use std::fmt;

/// A settings file that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// It is not the expected JSON.
    #[error("bad settings: {0}")]
    Json(#[from] JsonError),
    /// `Classes` is an empty list.
    #[error("bad settings: no classes: `Classes` must list at least one request class")]
    NoClasses,
}

/// JSON that does not fit what is read from it, with the path of the key that does not, such as
/// `Classes[2].Target`.
#[derive(Debug)]
pub struct JsonError {
    /// Empty if the text as a whole does not fit.
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

impl std::error::Error for JsonError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.cause)
    }
}
