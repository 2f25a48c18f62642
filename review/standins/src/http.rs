//! Reads HTTP/1.1 messages whose bodies have a Content-Length.

use std::io::{self, BufRead};

#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Returns the path of a request.
    pub fn path(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn call_id(&self) -> &str {
        self.header("x-call-id").unwrap_or("-")
    }
}

/// Reads a message. Returns `None` if the stream ends before its first byte.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start_line = line.trim_end().to_string();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.trim().to_string(), value.trim().to_string()));
        }
    }
    let length = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    message.body.resize(length, 0);
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}
