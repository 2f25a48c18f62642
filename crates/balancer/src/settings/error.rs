//! Why a settings file is refused.

/// A settings file that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// It is no JSON object with the expected keys; the cause names the key or value, the line and the
    /// column.
    #[error("bad settings: {0}")]
    Json(#[from] serde_json::Error),
    /// `Classes` is an empty list.
    #[error("bad settings: no classes: `Classes` must list at least one request class")]
    NoClasses,
}
