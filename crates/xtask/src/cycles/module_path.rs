//! The names of modules within their crate.

use std::fmt;

/// The path of a module from the root of its crate; the root itself has no segments.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ModulePath(Vec<String>);

impl ModulePath {
    /// Returns the module whose file has this path below `src`.
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

    /// Returns the path that `path` means within this module, if it begins with `crate`, `super` or
    /// `self`. Its last segments may be items.
    pub(super) fn resolve(&self, path: &str) -> Option<Self> {
        let mut segments = path.split("::").map(str::trim);
        let mut resolved = match segments.next()? {
            "crate" => Vec::new(),
            "self" => self.0.clone(),
            "super" => self.parent(),
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

    /// Returns the segments of the module that this one lies in.
    fn parent(&self) -> Vec<String> {
        let parents = self.0.len().saturating_sub(1);
        self.0[..parents].to_vec()
    }

    /// Returns this path and those that it lies within, the longest first, without the root.
    pub(super) fn with_parents(&self) -> impl Iterator<Item = Self> + '_ {
        let lengths = (1..=self.0.len()).rev();
        lengths.map(|length| ModulePath(self.0[..length].to_vec()))
    }

    /// Returns whether this is `other` or a module within it.
    pub(super) fn is_within(&self, other: &Self) -> bool {
        self.0.starts_with(&other.0)
    }
}

impl fmt::Display for ModulePath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0.join("::"))
    }
}
