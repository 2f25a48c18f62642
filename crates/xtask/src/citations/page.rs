//! Code spans in Markdown.

/// The heading of the section with names of earlier versions.
const RENAMED: &str = "Renamed";

/// Returns the text of each pair of backticks with the number of its line. Fenced blocks are left
/// out, and so are old names.
pub(super) fn code_spans(page: &str) -> Vec<(usize, &str)> {
    let mut spans = Vec::new();
    let mut in_fence = false;
    let mut in_renamed = false;
    for (line, number) in page.lines().zip(1..) {
        if line.trim_start().starts_with("```") {
            in_fence = !in_fence;
        } else if !in_fence {
            if line.starts_with('#') {
                in_renamed = line.trim_start_matches('#').trim() == RENAMED;
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

/// Returns a row of a table without its first column, and any other line as it is.
fn without_first_cell(line: &str) -> &str {
    let row = line.strip_prefix('|');
    let cells = row.and_then(|row| row.split_once('|'));
    cells.map_or(line, |(_first, rest)| rest)
}
