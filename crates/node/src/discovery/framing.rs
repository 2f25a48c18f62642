//! Cuts what a watch says into lists: one JSON object a line, or one indented over several lines.

use bytes::{Buf, Bytes, BytesMut};

/// The longest list that is taken in.
pub const LONGEST: usize = 4 << 20;

/// A list is longer than any that makes sense.
#[derive(Debug, PartialEq, Eq)]
pub struct TooLong;

/// What has come and is not yet a whole list.
#[derive(Default)]
pub struct Lists {
    /// From the first byte of a list, or of the line that is being read.
    unread: BytesMut,
    /// Where in `unread` the line that is being read begins.
    line: usize,
    /// How much of that line has been looked at, always from `line` on.
    seen: usize,
    /// Brackets that are open at the start of that line.
    open: i64,
}

impl Lists {
    pub fn push(&mut self, data: &[u8]) {
        self.unread.extend_from_slice(data);
    }

    /// The next list that is whole, or what stands in the place of one and can't be read.
    pub fn next(&mut self) -> Result<Option<Bytes>, TooLong> {
        while let Some(end) = self.unread[self.line + self.seen..].iter().position(|byte| *byte == b'\n') {
            let end = self.line + self.seen + end + 1;
            let line = &self.unread[self.line..end];
            let (blank, depth) = (line.trim_ascii().is_empty(), depth(line));
            // No list holds an empty line, and none holds another: what is not over by then was cut short.
            let cut_short = self.line > 0 && (blank || depth == Some(0) && is_list(line));
            if cut_short {
                let before = self.unread.split_to(self.line).freeze();
                (self.line, self.seen, self.open) = (0, 0, 0);
                return Ok(Some(before));
            }
            (self.line, self.seen) = (end, 0);
            if blank {
                self.unread.advance(end);
                self.line = 0;
                continue;
            }
            self.open += depth.unwrap_or(i64::MIN / 2);
            if self.open <= 0 {
                (self.line, self.open) = (0, 0);
                return Ok(Some(self.unread.split_to(end).freeze()));
            }
        }
        self.seen = self.unread.len() - self.line;
        // Whoever indents lists may end them with no line's end.
        let rest = &self.unread[self.line..];
        if rest.trim_ascii_end().ends_with(b"}") && depth(rest).is_some_and(|depth| self.open + depth == 0) {
            (self.line, self.seen, self.open) = (0, 0, 0);
            return Ok(Some(self.unread.split().freeze()));
        }
        if self.unread.len() > LONGEST { Err(TooLong) } else { Ok(None) }
    }
}

/// Whether a line that closes all it opens is a list of its own, and not a part of one.
fn is_list(line: &[u8]) -> bool {
    const ENTRIES: &[u8] = b"\"endpoints\"";
    line.starts_with(b"{") && line.windows(ENTRIES.len()).any(|part| part == ENTRIES)
}

/// How many more brackets a line opens than it closes; `None` if it ends within a string, which no line of JSON
/// does.
fn depth(line: &[u8]) -> Option<i64> {
    let (mut depth, mut quoted, mut escaped) = (0, false, false);
    for byte in line {
        match byte {
            _ if escaped => escaped = false,
            b'\\' => escaped = quoted,
            b'"' => quoted = !quoted,
            b'{' | b'[' if !quoted => depth += 1,
            b'}' | b']' if !quoted => depth -= 1,
            _ => {}
        }
    }
    (!quoted).then_some(depth)
}

#[cfg(test)]
#[path = "framing_tests.rs"]
mod tests;
