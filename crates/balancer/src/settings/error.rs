//! Why a settings file is refused.

/// A settings file that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// It is not the expected JSON. The cause names the missing key or the wrong value, and where it stands.
    #[error("bad settings: {0}")]
    Json(#[from] serde_json::Error),
    /// `Classes` is an empty list.
    #[error("bad settings: no classes: `Classes` must list at least one request class")]
    NoClasses,
}
