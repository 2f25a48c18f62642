//! JSON parsing with errors that name the path of the key.

use super::error::JsonError;
use serde::Deserialize;

/// Parses a JSON text.
///
/// # Errors
///
/// Returns an error if the text is not valid JSON, or if a value does not match `T`. In the second
/// case the error names the path of the key.
pub fn from_json<'a, T: Deserialize<'a>>(text: &'a [u8]) -> Result<T, JsonError> {
    let mut deserializer = serde_json::Deserializer::from_slice(text);
    let value = serde_path_to_error::deserialize(&mut deserializer)?;
    deserializer.end()?;
    Ok(value)
}
