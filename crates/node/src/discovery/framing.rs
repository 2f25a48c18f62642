//! Splits the data of a watch into lists and heartbeats. A list is a JSON object on one line, or
//! indented over several lines.

use bytes::{Buf, Bytes, BytesMut};

/// The maximum length of a list. It limits the data that is buffered while a list is incomplete.
const MAX_LIST_BYTES: usize = 4 << 20;
/// The bracket balance assumed for a line that ends within a string, which is not valid JSON.
/// Adding it makes the number of open brackets negative, so that the list ends with that line.
const UNTERMINATED_STRING_BALANCE: i64 = i64::MIN / 2;

/// A list is longer than [`MAX_LIST_BYTES`].
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("endpoint list longer than {MAX_LIST_BYTES} bytes")]
pub(super) struct ListTooLong;

/// An item in the data of a watch.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum WatchItem {
    /// The text of a complete list, or other text that will fail to parse as one.
    List(Bytes),
    /// An empty line, which discovery sends while nothing changes.
    Heartbeat,
}

/// Splits the data of a watch into lists and heartbeats as it arrives.
#[derive(Default)]
pub(super) struct ListFramer {
    /// The data that has not been returned yet, from the start of the open list, or of the current
    /// line if no list is open.
    buffer: BytesMut,
    /// The offset of the current line in `buffer`.
    line_start: usize,
    /// How many bytes of the current line have been searched for its line feed.
    line_searched: usize,
    /// The number of brackets that are open at the start of the current line.
    open_brackets: i64,
}

impl ListFramer {
    /// Appends data that has arrived.
    pub(super) fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// Returns the next complete list or heartbeat; `None` if more data has to arrive first.
    ///
    /// Fails only while a list is incomplete. A complete list is returned regardless of its length.
    pub(super) fn next_item(&mut self) -> Result<Option<WatchItem>, ListTooLong> {
        while let Some(line_end) = self.find_line_end() {
            if let Some(item) = self.take_line(line_end) {
                return Ok(Some(item));
            }
        }
        if self.is_complete_without_line_end() {
            return Ok(Some(self.split_list(self.buffer.len())));
        }
        if self.buffer.len() > MAX_LIST_BYTES {
            Err(ListTooLong)
        } else {
            Ok(None)
        }
    }

    /// Returns the offset after the current line's line feed; `None` if that has not arrived.
    fn find_line_end(&mut self) -> Option<usize> {
        let search_start = self.line_start + self.line_searched;
        let line_feed = self.buffer[search_start..]
            .iter()
            .position(|byte| *byte == b'\n');
        if line_feed.is_none() {
            self.line_searched = self.buffer.len() - self.line_start;
        }
        Some(search_start + line_feed? + 1)
    }

    /// Processes the current line, and returns the list or heartbeat that ends with or before it,
    /// if any. If the item ends before the line, the line stays in the buffer, and the next call
    /// processes it again.
    fn take_line(&mut self, line_end: usize) -> Option<WatchItem> {
        let line = &self.buffer[self.line_start..line_end];
        let is_blank = line.trim_ascii().is_empty();
        let balance = bracket_balance(line);
        let is_list_open = self.line_start > 0;
        // A list contains neither an empty line nor another list. If a list is open when such a
        // line arrives, the open list was cut short.
        let ends_open_list = is_blank || balance == Some(0) && is_complete_list(line);
        if is_list_open && ends_open_list {
            return Some(self.split_list(self.line_start));
        }
        if is_blank {
            self.buffer.advance(line_end);
            self.line_searched = 0;
            return Some(WatchItem::Heartbeat);
        }
        self.line_start = line_end;
        self.line_searched = 0;
        self.open_brackets += balance.unwrap_or(UNTERMINATED_STRING_BALANCE);
        (self.open_brackets <= 0).then(|| self.split_list(line_end))
    }

    /// Returns whether the buffer ends with a complete list whose last line has no line feed yet.
    ///
    /// The list is returned without waiting for the line feed, which may never come. If it does, it
    /// is reported as a heartbeat. That only restarts the time limit of the next list, as the list
    /// has done before.
    fn is_complete_without_line_end(&self) -> bool {
        let line = &self.buffer[self.line_start..];
        let ends_with_bracket = line.trim_ascii_end().ends_with(b"}");
        ends_with_bracket
            && bracket_balance(line).is_some_and(|balance| self.open_brackets + balance == 0)
    }

    /// Removes the buffer up to `end`, and returns it as a list.
    fn split_list(&mut self, end: usize) -> WatchItem {
        self.line_start = 0;
        self.line_searched = 0;
        self.open_brackets = 0;
        WatchItem::List(self.buffer.split_to(end).freeze())
    }
}

/// Returns whether a line is a complete list, rather than a part of one such as an entry. Expects a
/// line that closes all brackets that it opens.
fn is_complete_list(line: &[u8]) -> bool {
    /// The key that every list contains, but no entry of a list.
    const ENDPOINTS_KEY: &[u8] = b"\"endpoints\"";
    line.starts_with(b"{")
        && line
            .windows(ENDPOINTS_KEY.len())
            .any(|part| part == ENDPOINTS_KEY)
}

/// Returns how many more brackets a line opens than it closes. Returns `None` if the line ends
/// within a string, which is not valid JSON.
fn bracket_balance(line: &[u8]) -> Option<i64> {
    let mut balance = 0;
    let mut in_string = false;
    let mut escaped = false;
    for byte in line {
        match byte {
            _ if escaped => escaped = false,
            b'\\' => escaped = in_string,
            b'"' => in_string = !in_string,
            b'{' | b'[' if !in_string => balance += 1,
            b'}' | b']' if !in_string => balance -= 1,
            _ => {}
        }
    }
    (!in_string).then_some(balance)
}

#[cfg(test)]
mod tests;
