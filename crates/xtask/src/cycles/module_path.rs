//! The paths of modules within their crate.

use std::fmt;

/// The path of a module from the root of its crate; the root module has no segments.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ModulePath(Vec<String>);

impl ModulePath {
    /// Returns the module whose file has this path relative to `src`.
    pub(super) fn of_file(path: &str) -> Self {
        let path = path.strip_suffix(".rs").unwrap_or(path);
        let mut segments: Vec<String> = path.split('/').map(str::to_string).collect();
        if matches!(
            segments.last().map(String::as_str),
            Some("mod" | "lib" | "main")
        ) {
            segments.pop();
        }
        ModulePath(segments)
    }

    /// Resolves a path used in this module to a path from the crate root. Returns `None` unless it
    /// begins with `crate`, `super` or `self`. The last segments of the result may name items.
    pub(super) fn resolve(&self, path: &str) -> Option<Self> {
        let mut segments = path.split("::").map(str::trim);
        let mut resolved = match segments.next()? {
            "crate" => Vec::new(),
            "self" => self.0.clone(),
            "super" => self.parent_segments(),
            _ => return None,
        };
        for segment in segments {
            if segment == "super" {
                resolved.pop();
            } else {
                resolved.push(segment.to_string());
            }
        }
        Some(ModulePath(resolved))
    }

    /// Returns the segments of the parent module.
    fn parent_segments(&self) -> Vec<String> {
        let parent_length = self.0.len().saturating_sub(1);
        self.0[..parent_length].to_vec()
    }

    /// Returns this path and its ancestors, the longest first, without the root.
    pub(super) fn with_ancestors(&self) -> impl Iterator<Item = Self> + '_ {
        let lengths = (1..=self.0.len()).rev();
        lengths.map(|length| ModulePath(self.0[..length].to_vec()))
    }

    /// Returns whether this module is `other` or a descendant of it.
    pub(super) fn is_within(&self, other: &Self) -> bool {
        self.0.starts_with(&other.0)
    }
}

impl fmt::Display for ModulePath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0.join("::"))
    }
}
