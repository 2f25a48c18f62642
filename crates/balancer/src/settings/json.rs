//! Parsing of JSON with errors that name the key.

use super::error::JsonError;
use serde::Deserialize;

/// Parses JSON.
///
/// # Errors
///
/// Returns an error that names the path of the key that does not fit.
pub fn from_json<'a, T: Deserialize<'a>>(text: &'a [u8]) -> Result<T, JsonError> {
    let mut deserializer = serde_json::Deserializer::from_slice(text);
    let value = serde_path_to_error::deserialize(&mut deserializer)?;
    deserializer.end()?;
    Ok(value)
}
