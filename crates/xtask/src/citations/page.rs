//! Extracts the code spans of a Markdown page.

/// The heading of a section whose tables list old names in the first column.
const RENAMED_HEADING: &str = "Renamed";

/// Returns the text between each pair of backticks with its line number, from 1. Skips fenced code
/// blocks and the first table column of sections headed [`RENAMED_HEADING`].
pub(super) fn code_spans(page: &str) -> Vec<(usize, &str)> {
    let mut spans = Vec::new();
    let mut in_fence = false;
    let mut in_renamed = false;
    for (line, number) in page.lines().zip(1..) {
        if line.trim_start().starts_with("```") {
            in_fence = !in_fence;
        } else if !in_fence {
            if line.starts_with('#') {
                in_renamed = line.trim_start_matches('#').trim() == RENAMED_HEADING;
            }
            let text = if in_renamed {
                without_first_cell(line)
            } else {
                line
            };
            let between_backticks = text.split('`').skip(1).step_by(2);
            spans.extend(between_backticks.map(|span| (number, span)));
        }
    }
    spans
}

/// Returns a table row without its first cell, and any other line unchanged.
fn without_first_cell(line: &str) -> &str {
    let row = line.strip_prefix('|');
    let cells = row.and_then(|row| row.split_once('|'));
    cells.map_or(line, |(_first, rest)| rest)
}
