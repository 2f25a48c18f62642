//! Splits what a watch sends into lists: one JSON object a line, or one indented over several
//! lines.

use bytes::{Buf, Bytes, BytesMut};

/// The longest list that is accepted, in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;
/// Added to the open brackets for a line that is no JSON, so that the list ends there.
const MALFORMED_LINE: i64 = i64::MIN / 2;

/// A list is longer than any that is accepted.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("endpoint list longer than {MAX_LIST_BYTES} bytes")]
pub(super) struct ListTooLong;

/// What a watch sends.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum WatchItem {
    /// A complete list, or what was sent instead of one and can't be parsed.
    List(Bytes),
    /// An empty line: nothing has changed.
    Heartbeat,
}

/// Splits the data that arrives into lists.
#[derive(Default)]
pub(super) struct ListFramer {
    /// From the first byte of a list, or of the line that is being read.
    unread: BytesMut,
    /// Where in `unread` the line that is being read begins.
    line_start: usize,
    /// How much of that line has been searched for its end.
    line_searched: usize,
    /// Brackets that are open at the start of that line.
    open_brackets: i64,
}

impl ListFramer {
    /// Adds data that has arrived.
    pub(super) fn push(&mut self, data: &[u8]) {
        self.unread.extend_from_slice(data);
    }

    /// Returns the next list or heartbeat that has arrived whole; `None` until more data arrives.
    pub(super) fn next_item(&mut self) -> Result<Option<WatchItem>, ListTooLong> {
        while let Some(line_end) = self.find_line_end() {
            if let Some(line) = self.take_line(line_end) {
                return Ok(Some(line));
            }
        }
        if self.is_complete_without_line_end() {
            return Ok(Some(self.split_list(self.unread.len())));
        }
        if self.unread.len() > MAX_LIST_BYTES {
            Err(ListTooLong)
        } else {
            Ok(None)
        }
    }

    /// Returns the end of the line that is being read, past its line feed, once that has arrived.
    fn find_line_end(&mut self) -> Option<usize> {
        let search_start = self.line_start + self.line_searched;
        let line_feed = self.unread[search_start..]
            .iter()
            .position(|byte| *byte == b'\n');
        if line_feed.is_none() {
            self.line_searched = self.unread.len() - self.line_start;
        }
        Some(search_start + line_feed? + 1)
    }

    /// Goes on to the next line, and returns what has ended with this one.
    fn take_line(&mut self, line_end: usize) -> Option<WatchItem> {
        let line = &self.unread[self.line_start..line_end];
        let is_blank = line.trim_ascii().is_empty();
        let depth = bracket_depth(line);
        // No list holds an empty line, and none holds another list: one that is open by then was
        // cut short.
        let starts_anew = is_blank || depth == Some(0) && is_list(line);
        if self.line_start > 0 && starts_anew {
            return Some(self.split_list(self.line_start));
        }
        if is_blank {
            self.unread.advance(line_end);
            self.line_searched = 0;
            return Some(WatchItem::Heartbeat);
        }
        self.line_start = line_end;
        self.line_searched = 0;
        self.open_brackets += depth.unwrap_or(MALFORMED_LINE);
        (self.open_brackets <= 0).then(|| self.split_list(line_end))
    }

    /// Returns whether a list is complete though no line feed has come: an indented one may end
    /// without.
    fn is_complete_without_line_end(&self) -> bool {
        let line = &self.unread[self.line_start..];
        let ends_with_bracket = line.trim_ascii_end().ends_with(b"}");
        ends_with_bracket
            && bracket_depth(line).is_some_and(|depth| self.open_brackets + depth == 0)
    }

    /// Splits off what has arrived up to `end` as a list.
    fn split_list(&mut self, end: usize) -> WatchItem {
        self.line_start = 0;
        self.line_searched = 0;
        self.open_brackets = 0;
        WatchItem::List(self.unread.split_to(end).freeze())
    }
}

/// Returns whether a line that closes all brackets that it opens is a list of its own, and not a
/// part of one.
fn is_list(line: &[u8]) -> bool {
    /// The key that every list has.
    const ENTRIES: &[u8] = b"\"endpoints\"";
    line.starts_with(b"{") && line.windows(ENTRIES.len()).any(|part| part == ENTRIES)
}

/// Returns how many more brackets a line opens than it closes; `None` if it ends within a string,
/// which no line of JSON does.
fn bracket_depth(line: &[u8]) -> Option<i64> {
    let mut depth = 0;
    let mut in_string = false;
    let mut escaped = false;
    for byte in line {
        match byte {
            _ if escaped => escaped = false,
            b'\\' => escaped = in_string,
            b'"' => in_string = !in_string,
            b'{' | b'[' if !in_string => depth += 1,
            b'}' | b']' if !in_string => depth -= 1,
            _ => {}
        }
    }
    (!in_string).then_some(depth)
}

#[cfg(test)]
mod tests;
