//! Extracts the paths that a source file imports.

use crate::pattern::pattern;
use regex::Regex;
use std::sync::LazyLock;

/// Matches a comment up to the end of its line.
static COMMENT: LazyLock<Regex> = LazyLock::new(|| pattern(r"//[^\n]*"));
/// Matches a restricted visibility such as `pub(in crate::a)`, whose path is not an import.
static VISIBILITY: LazyLock<Regex> = LazyLock::new(|| pattern(r"\bpub\s*\([^)]*\)"));
/// Matches a `use` statement.
static USE_STATEMENT: LazyLock<Regex> = LazyLock::new(|| pattern(r"\buse\s+([^;]+);"));
/// Matches a path outside `use` statements that begins with `crate` or `super`.
static CRATE_PATH: LazyLock<Regex> =
    LazyLock::new(|| pattern(r"\b(?:crate|super)(?:\s*::\s*\w+)+"));

/// Returns the paths of all `use` statements, one for each leaf of their use trees, and all other
/// paths that begin with `crate` or `super`.
pub(super) fn imported_paths(source: &str) -> Vec<String> {
    let without_comments = COMMENT.replace_all(source, "");
    let code = VISIBILITY.replace_all(&without_comments, "");
    let mut paths = Vec::new();
    for statement in USE_STATEMENT.captures_iter(&code) {
        flatten_use_tree("", &statement[1], &mut paths);
    }
    let other_code = USE_STATEMENT.replace_all(&code, "");
    let crate_paths = CRATE_PATH.find_iter(&other_code);
    paths.extend(crate_paths.map(|path| path.as_str().to_string()));
    paths
}

/// Adds each path of a use tree such as `a::{b, c::{self, d as e}}` to `paths`, without its alias.
fn flatten_use_tree(prefix: &str, tree: &str, paths: &mut Vec<String>) {
    let tree = tree.trim();
    let group = tree.strip_suffix('}').and_then(|tree| tree.split_once('{'));
    if let Some((head, members)) = group {
        let prefix = format!("{prefix}{}", head.trim());
        for member in split_members(members) {
            flatten_use_tree(&prefix, member, paths);
        }
    } else if !tree.is_empty() {
        let path = tree.split_once(" as ").map_or(tree, |(path, _)| path);
        paths.push(format!("{prefix}{}", path.trim()));
    }
}

/// Splits the members of a brace group at its commas, but not at those of nested groups.
fn split_members(members: &str) -> Vec<&str> {
    let mut depth = 0_usize;
    let at_comma = |character: char| {
        match character {
            '{' => depth += 1,
            '}' => depth = depth.saturating_sub(1),
            _ => {}
        }
        character == ',' && depth == 0
    };
    members.split(at_comma).collect()
}
